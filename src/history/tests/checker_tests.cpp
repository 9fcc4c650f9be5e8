// Each violation kind has a history that must be reported; the clean history must not be.
#include "core/error.hpp"
#include "core/key_hash.hpp"
#include "history/checker.hpp"
#include "history/reader.hpp"
#include "history/writer.hpp"

#include <boost/test/unit_test.hpp>

#include <fstream>

using namespace briarfold;
using namespace briarfold::history;

namespace {

const std::string low = "0000000000000000-7fffffffffffffff";
const std::string high = "8000000000000000-ffffffffffffffff";
const std::string whole = "0000000000000000-ffffffffffffffff";
constexpr std::int64_t end_of_grants = 100000;

struct builder
{
    builder& at(std::int64_t ms, event value, const std::string& process = "p")
    {
        value.time.ms = ms;
        value.process = process;
        events.push_back(std::move(value));
        return *this;
    }

    builder& grant(std::int64_t ms, const std::string& server, std::vector<std::string> slices,
                   std::int64_t until = end_of_grants, const std::string& incarnation = "i")
    {
        grant_accepted_fields line;
        line.backend_server = server;
        line.service = "s";
        line.incarnation = incarnation;
        line.slices = std::move(slices);
        line.valid_until.ms = until;
        return at(ms, make_grant_accepted(line));
    }

    builder& row(std::int64_t ms, const std::string& server, std::vector<std::string> slices,
                 std::int64_t revision, const std::string& intent = "active",
                 const std::string& source = "store")
    {
        return at(ms, make_assignment({source, server, "s", intent, revision, revision, std::move(slices)}));
    }

    builder& run(std::int64_t ms, const std::string& id, const std::string& server,
                 const std::string& incarnation = "i", const std::string& answer = "h")
    {
        return at(ms, make_execute({id, server, incarnation, "s", "k", 1, {ms - 1}, answer}));
    }

    builder& call(std::int64_t ms, const std::string& id, bool is_idempotent = false)
    {
        return at(ms, make_call(id, "c", "s", "k", is_idempotent));
    }

    builder& told(std::int64_t ms, const std::string& id, const std::string& outcome, unsigned status = 200,
                  const std::string& answer_id = "", const std::string& answer = "h",
                  const std::string& peer = "")
    {
        outcome_fields line;
        line.request_id = id;
        line.outcome = outcome;
        line.status = status;
        line.answer_id = answer_id.empty() ? id : answer_id;
        line.answer_hash = answer;
        line.peer = peer;
        return at(ms, make_outcome(line));
    }

    /// The kinds found, each once, in order of time.
    std::vector<std::string> kinds() const
    {
        std::vector<std::string> names;
        for (const auto& item : check(events))
        {
            if (names.empty() || names.back() != to_string(item.kind))
            {
                names.push_back(to_string(item.kind));
            }
        }
        return names;
    }

    bool finds(violation_kind kind) const { return kinds() == std::vector{to_string(kind)}; }

    std::vector<event> events;
};

builder two_servers()
{
    builder history;
    history.row(10, "a", {low}, 1).row(10, "b", {high}, 1).grant(20, "a", {low}).grant(20, "b", {high});
    return history;
}

/// The server of the two that holds the key "k", and the other one.
std::pair<std::string, std::string> owner_and_other()
{
    const bool is_low = core::key_hash("s", "k") >> 63 == 0;
    return is_low ? std::pair("a", "b") : std::pair("b", "a");
}

} // namespace

BOOST_AUTO_TEST_CASE(clean_history_has_no_violation)
{
    const auto owner = owner_and_other().first;
    auto history = two_servers();
    history.call(100, "r1").run(110, "r1", owner).told(120, "r1", "answered");
    history.call(130, "r2").told(140, "r2", "refused-not-run", 429);
    history.call(150, "r3", true).run(160, "r3", owner).run(170, "r3", owner).told(180, "r3", "answered");
    // A move: the source gives the slice up, the row changes, the target is granted in the same millisecond.
    history.grant(200, "a", {})
        .row(210, "a", {}, 2)
        .row(210, "b", {low, high}, 2)
        .grant(210, "b", {low, high});
    history.at(220, make_contract_applied("store", "c", 2), "platform");
    history.at(300, make_contract_applied("router", "c", 2), "r").at(9000, make_drain("x"), "r");
    // Leaving and back again.
    history.row(10000, "b", {low, high}, 3, "leaving").row(12000, "b", {low, high}, 4);
    history.call(16000, "r4").run(16010, "r4", "b").told(16020, "r4", "answered");
    history.at(17000, make_release("b", "i")).at(17000, make_stop("b", "i", "127.0.0.1:1", 0));
    BOOST_TEST(history.kinds() == std::vector<std::string>{}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(overlapping_grants_are_two_owners)
{
    builder history;
    history.grant(10, "a", {low}).grant(20, "b", {whole});
    BOOST_TEST(history.finds(violation_kind::two_owners));
}

// Guards against a checker that takes a grant in effect until the next one, and reports a takeover.
BOOST_AUTO_TEST_CASE(grant_after_expiry_is_no_second_owner)
{
    builder history;
    history.grant(10, "a", {whole}, 900).grant(900, "b", {whole});
    BOOST_TEST(history.kinds().empty());
}

BOOST_AUTO_TEST_CASE(effect_on_a_key_of_another_server_is_two_owners)
{
    auto history = two_servers();
    history.run(100, "r", owner_and_other().second);
    BOOST_TEST(history.finds(violation_kind::two_owners));
}

BOOST_AUTO_TEST_CASE(effect_after_the_grant_or_in_a_former_incarnation_is_two_owners)
{
    builder expired;
    expired.grant(10, "a", {whole}, 900).run(900, "r", "a");
    BOOST_TEST(expired.finds(violation_kind::two_owners));
    builder former;
    former.grant(10, "a", {whole}).grant(20, "a", {whole}, end_of_grants, "j").run(30, "r", "a");
    BOOST_TEST(former.finds(violation_kind::two_owners));
}

// Backend servers that do not check grants have no grant lines; their rows decide.
BOOST_AUTO_TEST_CASE(effect_of_an_unchecked_server_after_its_row_lost_the_key_is_two_owners)
{
    builder history;
    history.row(10, "a", {whole}, 1).row(10, "b", {}, 1).run(15, "r1", "a");
    history.row(20, "a", {}, 2).row(20, "b", {whole}, 2).run(30, "r2", "a");
    BOOST_TEST(history.finds(violation_kind::two_owners));
}

BOOST_AUTO_TEST_CASE(grant_of_slices_outside_the_row_is_reported)
{
    builder history;
    history.row(10, "a", {whole}, 1).row(10, "b", {}, 1).grant(20, "b", {low});
    BOOST_TEST(history.finds(violation_kind::grant_outside_assignment));
}

BOOST_AUTO_TEST_CASE(gap_between_the_rows_is_a_lost_assignment)
{
    builder history;
    history.row(10, "a", {low}, 1).row(10, "b", {high}, 1).row(20, "a", {}, 2);
    BOOST_TEST(history.finds(violation_kind::lost_assignment));
}

BOOST_AUTO_TEST_CASE(overlap_between_the_rows_is_two_owners)
{
    builder history;
    history.row(10, "a", {low}, 1).row(10, "b", {whole}, 1);
    BOOST_TEST(history.finds(violation_kind::two_owners));
}

BOOST_AUTO_TEST_CASE(assignment_that_the_store_never_committed_is_lost)
{
    builder history;
    history.row(10, "a", {whole}, 1).row(20, "a", {whole}, 2, "active", "controller");
    BOOST_TEST(history.finds(violation_kind::lost_assignment));
}

BOOST_AUTO_TEST_CASE(answer_of_another_request_or_of_no_run_is_wrong)
{
    builder other_id;
    other_id.call(10, "r").run(20, "r", "a").told(30, "r", "answered", 200, "q");
    BOOST_TEST(other_id.finds(violation_kind::wrong_answer));
    builder other_body;
    other_body.call(10, "r").run(20, "r", "a").told(30, "r", "answered", 200, "r", "truncated");
    BOOST_TEST(other_body.finds(violation_kind::wrong_answer));
}

// Guards against looking only at runs before the refusal: one that follows breaks the promise as well.
BOOST_AUTO_TEST_CASE(run_before_or_after_a_refusal_is_reported)
{
    builder before;
    before.call(10, "r").run(20, "r", "a").told(30, "r", "refused-not-run", 503);
    BOOST_TEST(before.finds(violation_kind::ran_despite_not_run));
    builder after;
    after.call(10, "r").told(20, "r", "refused-not-run", 503).run(30, "r", "a");
    BOOST_TEST(after.finds(violation_kind::ran_despite_not_run));
}

BOOST_AUTO_TEST_CASE(second_run_of_a_non_idempotent_request_is_reported)
{
    builder history;
    history.call(10, "r").run(20, "r", "a").run(30, "r", "a").told(40, "r", "answered");
    BOOST_TEST(history.finds(violation_kind::second_run));
}

BOOST_AUTO_TEST_CASE(work_received_on_a_leaving_server_after_the_bound_is_reported)
{
    builder by_row;
    by_row.row(10, "a", {whole}, 1, "leaving").run(3012, "r", "a");
    BOOST_TEST(by_row.finds(violation_kind::work_on_leaving));
    builder by_line;
    by_line.at(10, make_drain("a")).run(3012, "r", "a");
    BOOST_TEST(by_line.finds(violation_kind::work_on_leaving));
    builder in_time;
    in_time.at(10, make_drain("a")).run(3011, "r", "a");
    BOOST_TEST(in_time.kinds().empty());
}

BOOST_AUTO_TEST_CASE(work_cut_off_by_a_graceful_stop_is_reported)
{
    builder unanswered;
    unanswered.at(10, make_stop("a", "i", "127.0.0.1:1", 1));
    BOOST_TEST(unanswered.finds(violation_kind::cut_off_by_stop));
    builder closed;
    closed.call(10, "r").at(20, make_stop("a", "i", "127.0.0.1:1", 0));
    closed.told(30, "r", "unknown", 502, "r", "h", "127.0.0.1:1");
    BOOST_TEST(closed.finds(violation_kind::cut_off_by_stop));
}

BOOST_AUTO_TEST_CASE(contract_version_that_goes_back_is_reported)
{
    builder history;
    history.at(10, make_contract_applied("router", "c", 2), "r");
    history.at(20, make_contract_applied("router", "c", 1), "r");
    BOOST_TEST(history.finds(violation_kind::contract_went_back));
}

BOOST_AUTO_TEST_CASE(late_contract_is_reported_except_under_a_fault)
{
    builder history;
    history.at(10, make_contract_applied("router", "c", 1), "r-1");
    history.at(20, make_contract_applied("store", "c", 2), "platform");
    history.at(5021, make_contract_applied("router", "c", 2), "r-1");
    BOOST_TEST(history.finds(violation_kind::contract_late));
    builder under_fault;
    under_fault.at(5, make_fault("pause", true, {"r"}));
    under_fault.events.insert(under_fault.events.end(), history.events.begin(), history.events.end());
    BOOST_TEST(under_fault.kinds().empty());
    under_fault.events[0].fields = make_fault("pause", true, {"other"}).fields;
    BOOST_TEST(under_fault.finds(violation_kind::contract_late));
}

BOOST_AUTO_TEST_CASE(request_without_exactly_one_outcome_is_reported)
{
    builder none;
    none.call(10, "r");
    BOOST_TEST(none.finds(violation_kind::unaccounted_request));
    builder two;
    two.call(10, "r").told(20, "r", "unknown", 504).told(30, "r", "unknown", 504);
    BOOST_TEST(two.finds(violation_kind::unaccounted_request));
}

// Guards against losing lines of a killed process, and against taking its half-written last line for an
// error.
BOOST_AUTO_TEST_CASE(written_lines_are_read_back_without_an_incomplete_last_one)
{
    const auto path = std::filesystem::temp_directory_path() / core::to_hex(core::text_hash(__FILE__));
    std::filesystem::remove(path);
    writer output(path, "p", flush_policy::each_line);
    output.write(make_drain("a"));
    std::ofstream(path, std::ios::app) << R"({"kind":"dra)";
    const auto events = read_files({path});
    std::filesystem::remove(path);
    BOOST_REQUIRE(events.size() == 1);
    BOOST_TEST(events[0].process == "p");
    BOOST_TEST((events[0].fields == make_drain("a").fields));
    BOOST_TEST(events[0].time.ms > 0);
}

BOOST_AUTO_TEST_CASE(line_with_a_missing_field_is_an_error)
{
    builder history;
    history.at(10, event(event_kind::execute, {{"request_id", "r"}}));
    BOOST_CHECK_THROW(history.kinds(), core::error);
}
