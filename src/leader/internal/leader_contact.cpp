#include "leader/leader_contact.hpp"

#include <algorithm>

namespace briarfold::leader {

namespace {

constexpr core::duration min_leader_timeout{1100};
constexpr core::duration min_connected_timeout{2200};
constexpr std::int64_t reports_until_disconnected = 4;
constexpr core::duration min_outage_threshold{800};
constexpr std::int64_t reports_until_outage = 2;

} // namespace

void leader_contact::set_report_interval(core::duration interval)
{
    report_interval_ = std::max(interval, min_report_interval);
}

void leader_contact::on_contact(core::time_point now)
{
    last_answer_ = now;
    failures_ = 0;
    is_last_report_answered_ = true;
}

void leader_contact::on_leader_named(core::time_point now)
{
    on_contact(now);
    is_last_report_answered_ = false;
}

void leader_contact::on_failure()
{
    ++failures_;
    is_last_report_answered_ = false;
}

bool leader_contact::is_lost(core::time_point now, core::duration patience) const
{
    const auto timeout = std::max(min_leader_timeout, report_interval_ * max_failures);
    return failures_ >= max_failures || now - last_answer_ > timeout + patience;
}

bool leader_contact::can_vouch(core::time_point now) const
{
    return is_last_report_answered_ && !is_lost(now, {});
}

bool leader_contact::may_be_outage(core::time_point now) const
{
    return now - last_answer_ > std::max(min_outage_threshold, report_interval_ * reports_until_outage);
}

bool leader_contact::is_connected(core::time_point now) const
{
    return now - last_answer_ <
           std::max(min_connected_timeout, report_interval_ * reports_until_disconnected);
}

} // namespace briarfold::leader
