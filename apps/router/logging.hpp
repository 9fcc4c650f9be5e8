/// Log format and level of the process.
#pragma once

#include <string>

namespace briarfold::router {

/// `format` is "text" or "json"; `level` as in the settings.
void set_up_logging(const std::string& format, const std::string& level, const std::string& instance_id);

} // namespace briarfold::router
