// Asio and Beast are compiled once here; every other file sees declarations only (separate compilation).
#include "core/asio.hpp"

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
