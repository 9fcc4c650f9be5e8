/// Random identifiers.
#pragma once

#include <string>

namespace briarfold::core {

/// `prefix` + "-" + 16 hex digits from the operating system's random source; unique for each call.
std::string make_id(const std::string& prefix);

} // namespace briarfold::core
