// briarfold-load: open-loop load generator.
#include "apps/load/load_options.hpp"
#include "apps/load/load_worker.hpp"
#include "core/error.hpp"

#include <boost/program_options.hpp>

#include <atomic>
#include <fstream>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace {

using namespace briarfold;

void write_file(const std::string& path, const std::string& text)
{
    std::ofstream file(path);
    file << text;
    if (!file.flush())
    {
        throw core::error("write report", path, "cannot write the file");
    }
}

void show_progress(const load::recorder& results, const std::atomic<bool>& is_done)
{
    constexpr std::chrono::milliseconds refresh{200};
    while (!is_done)
    {
        std::this_thread::sleep_for(refresh);
        std::cerr << "\r\033[K" << results.summary() << std::flush;
    }
    std::cerr << '\n';
}

nlohmann::json describe(const load::load_options& options)
{
    return {{"rate", options.rate},
            {"duration_s", options.duration_s},
            {"direct", options.is_direct},
            {"targets", options.targets.size()},
            {"customers", options.customers.size()},
            {"keys", options.keys.keys},
            {"hot_keys", options.keys.hot_keys},
            {"hot_share", options.keys.hot_share},
            {"idempotent_share", options.idempotent_share},
            {"deadline_ms", options.deadline.ms},
            {"connections", options.connections},
            {"threads", options.threads},
            {"seed", options.seed}};
}

int run(const load::load_options& options)
{
    load::recorder results;
    history::writer history(options.history, "load", history::flush_policy::buffered);
    const auto start = load::load_worker::clock::now();
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < options.threads; ++index)
    {
        threads.emplace_back(
            [&, index] { load::load_worker(options, index, start, results, history).run(); });
    }
    std::atomic<bool> is_done{false};
    std::thread progress;
    if (!options.is_quiet && isatty(STDERR_FILENO) != 0)
    {
        progress = std::thread([&] { show_progress(results, is_done); });
    }
    std::ranges::for_each(threads, &std::thread::join);
    is_done = true;
    if (progress.joinable())
    {
        progress.join();
    }
    auto report = results.report();
    report["options"] = describe(options);
    if (!options.report.empty())
    {
        write_file(options.report, report.dump(2) + "\n");
        write_file(options.report + ".tsv", results.series());
    }
    std::cout << results.summary() << std::endl;
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        const auto options = load::parse_options(argc, argv);
        return options ? run(*options) : 0;
    }
    catch (const std::exception& failure)
    {
        std::cerr << "briarfold-load: " << failure.what() << '\n';
        return 2;
    }
}
