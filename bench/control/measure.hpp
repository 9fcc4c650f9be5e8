/// Measuring and printing for benchmarks.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace briarfold::bench {

/// One measured size.
struct point
{
    double size = 0;
    double value = 0;
};

/// CPU time of one call in microseconds: the median of several rounds of at least 20 ms each.
double cpu_us(const std::function<void()>& call);
/// Bytes on the heap now.
std::int64_t heap_bytes();
/// Least-squares line through the points, printed as "name: value at each size; slope per unit; base".
void print_slope(const std::string& name, const std::string& unit, const std::string& per,
                 const std::vector<point>& points);
void print_value(const std::string& name, double value, const std::string& unit);

} // namespace briarfold::bench
