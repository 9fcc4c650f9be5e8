/// Log configuration of the process.
#pragma once

#include <string>

namespace briarfold::router {

/// Sets the log format and level. `format` is "text" or "json"; `level` is the level name of the settings.
void set_up_logging(const std::string& format, const std::string& level, const std::string& instance_id);

} // namespace briarfold::router
