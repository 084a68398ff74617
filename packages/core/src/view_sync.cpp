#include <lovagemoor/core/view_sync.hpp>

#include <lovagemoor/core/placement.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace lovagemoor::core {

namespace internal {

/// Maximum delay between calls to an unreachable platform.
constexpr duration max_platform_backoff = std::chrono::seconds{8};
/// Time that the membership has to converge before the watchers are chosen. Right after its start a
/// host knows no other hosts and would choose itself.
constexpr duration watch_delay = std::chrono::seconds{2};
/// Interval at which watchers read the whole view in case a watch has lost a change. At design size
/// the view takes 500 KB, which amounts to about 4 KB/s per watcher.
constexpr duration reread_interval = std::chrono::seconds{120};
/// Larger sets of changes, such as the first view after a start, are not pushed but pulled.
constexpr std::size_t max_pushed_records = 32;
/// Number of pull intervals after which a lasting difference of digests leads to a pull even if
/// this host's own records have changed in the meantime.
constexpr int max_difference_intervals = 3;

} // namespace internal

view_sync::view_sync(const core_settings& settings, cluster_view& view, id_source& ids,
                     std::mt19937_64& random)
    : settings_{settings}, view_{view}, ids_{ids}, random_{random} {}

void view_sync::start(time_point now, action_list& actions) {
    registration_.due = now;
    reading_.due = now;
    next_check_ = now + internal::watch_delay;
    issue_due(now, actions);
}

void view_sync::register_leaving(time_point now, action_list& actions) {
    // An outstanding call writes the record without the leaving flag, so another call follows it.
    registration_.due = now;
    issue_due(now, actions);
}

void view_sync::publish(time_point /*now*/, const std::vector<platform_record>& records,
                        action_list& actions) {
    apply(records, settings_.push_hops, actions);
}

bool view_sync::on_platform_finished(time_point now, const platform_finished& finished,
                                     action_list& actions) {
    const bool is_retryable = std::holds_alternative<platform_unavailable>(finished.result) ||
                              std::holds_alternative<platform_unknown>(finished.result);
    if (finished.call == registration_.call) {
        registration_.call.reset();
        if (is_retryable) {
            retry(now, registration_);
        }
    } else if (finished.call == reading_.call) {
        finish_read(now, finished.result, actions);
    } else if (finished.call == watching_.call) {
        finish_watch(now, finished.result);
    } else {
        return false;
    }
    issue_due(now, actions);
    return true;
}

void view_sync::on_platform_changed(time_point /*now*/, const platform_changed& changed,
                                    action_list& actions) {
    apply({changed.record}, settings_.push_hops, actions);
}

void view_sync::on_watch_lost(time_point now, action_list& /*actions*/) {
    is_watching_ = false;
    if (!watching_.call.has_value()) {
        retry(now, watching_);
    }
}

void view_sync::on_push(time_point /*now*/, const host_id& /*from*/, const view_push& message,
                        action_list& actions) {
    const std::uint32_t hops = std::min(message.hops, settings_.push_hops);
    apply(message.records, hops == 0 ? 0 : hops - 1, actions);
}

void view_sync::on_request(time_point /*now*/, const host_id& from, const view_request& message,
                           action_list& actions) {
    std::map<std::string, std::int64_t> known;
    for (const record_revision& entry : message.known) {
        known[entry.key] = entry.revision;
    }
    view_reply reply;
    for (platform_record& record : view_.records()) {
        const auto found = known.find(record_key(record));
        if (found == known.end() || found->second < record.revision) {
            reply.records.push_back(std::move(record));
        }
    }
    const std::string address = view_.peer_address(from);
    if (!reply.records.empty() && !address.empty()) {
        actions.emplace_back(send_to_peer{from, address, std::move(reply)});
    }
}

void view_sync::on_reply(time_point /*now*/, const host_id& /*from*/, const view_reply& message,
                         action_list& actions) {
    apply(message.records, settings_.push_hops, actions);
}

void view_sync::on_gossip(time_point now, const host_id& from, const gossip_header& gossip,
                          action_list& actions) {
    if (gossip.view_digest == view_.digest()) {
        if (difference_.has_value() && difference_->peer == from) {
            difference_.reset();
        }
        return;
    }
    if (view_.digest() == 0) {
        if (now >= next_pull_) {
            pull(now, from, actions);
        }
        return;
    }
    if (!difference_.has_value()) {
        difference_ = observed_difference{from, gossip.view_digest, view_.digest(), now, now};
    }
    check_difference(now, actions);
}

void view_sync::on_timer(time_point now, action_list& actions) {
    if (now >= next_check_) {
        next_check_ = now + settings_.view_pull_interval;
        update_watch(now);
    }
    check_difference(now, actions);
    issue_due(now, actions);
}

bool view_sync::take_changed() {
    return std::exchange(is_changed_, false);
}

time_point view_sync::next_wakeup() const {
    time_point wakeup = next_check_;
    for (const repeated_call* repeated : {&registration_, &reading_, &watching_}) {
        if (!repeated->call.has_value()) {
            wakeup = std::min(wakeup, repeated->due);
        }
    }
    if (difference_.has_value()) {
        wakeup = std::min(
            wakeup, std::max(next_pull_, difference_->wait_since + settings_.view_pull_interval));
    }
    return wakeup;
}

void view_sync::issue(time_point now, repeated_call& repeated, const platform_call& request,
                      action_list& actions) {
    if (repeated.call.has_value() || repeated.due > now) {
        return;
    }
    repeated.due = time_point::max();
    repeated.call = ids_.next();
    actions.emplace_back(call_platform{*repeated.call, request});
}

void view_sync::issue_due(time_point now, action_list& actions) {
    issue(now, registration_, register_host{view_.self()}, actions);
    if (!watching_.call.has_value() && watching_.due <= now) {
        requested_watch_ = is_watcher();
        if (requested_watch_ == is_watching_) {
            watching_.due = time_point::max();
        }
    }
    issue(now, watching_, set_watch{requested_watch_}, actions);
    issue(now, reading_, read_view{}, actions);
}

void view_sync::retry(time_point now, repeated_call& repeated) {
    repeated.backoff = repeated.backoff == duration{0}
                           ? settings_.platform_retry_interval
                           : std::min(repeated.backoff * 2, internal::max_platform_backoff);
    // The random part prevents all hosts from calling a recovered platform at the same time.
    std::uniform_int_distribution<duration::rep> spread{repeated.backoff.count() / 2,
                                                        repeated.backoff.count()};
    repeated.due = now + duration{spread(random_)};
}

void view_sync::finish_read(time_point now, const platform_result& result, action_list& actions) {
    reading_.call.reset();
    const platform_view* read = std::get_if<platform_view>(&result);
    if (read == nullptr) {
        retry(now, reading_);
        return;
    }
    reading_.backoff = duration{0};
    has_read_ = true;
    if (is_watching_ && reading_.due == time_point::max()) {
        reading_.due = now + internal::reread_interval;
    }
    apply(read->records, settings_.push_hops, actions);
    const bool is_listed = std::any_of(
        read->records.begin(), read->records.end(), [this](const platform_record& record) {
            const host_record* host = std::get_if<host_record>(&record.value);
            return host != nullptr && host->id == view_.self().id;
        });
    const bool is_registering =
        registration_.call.has_value() || registration_.due != time_point::max();
    if (!is_listed && !is_registering) {
        registration_.due = now;
    }
}

void view_sync::finish_watch(time_point now, const platform_result& result) {
    watching_.call.reset();
    if (!std::holds_alternative<platform_ok>(result)) {
        is_watching_ = false;
        retry(now, watching_);
        return;
    }
    watching_.backoff = duration{0};
    is_watching_ = requested_watch_;
    if (is_watching_) {
        // Neither the last read nor the watch includes a change that was made between them.
        reading_.due = now;
    } else if (has_read_) {
        reading_.due = time_point::max();
    }
}

void view_sync::update_watch(time_point now) {
    const bool is_idle = !watching_.call.has_value() && watching_.due == time_point::max();
    if (is_idle && is_watcher() != is_watching_) {
        watching_.due = now;
    }
}

bool view_sync::is_watcher() const {
    const domain_id& domain = view_.self().domain;
    std::vector<host_id> ranked = rank_hosts(domain.value, view_.live_hosts(domain));
    ranked.resize(std::min<std::size_t>(ranked.size(), settings_.watchers_per_domain));
    return std::find(ranked.begin(), ranked.end(), view_.self().id) != ranked.end();
}

void view_sync::apply(const std::vector<platform_record>& records, std::uint32_t hops,
                      action_list& actions) {
    std::vector<platform_record> applied;
    for (const platform_record& record : records) {
        if (view_.apply(record)) {
            applied.push_back(record);
        }
    }
    is_changed_ = is_changed_ || !applied.empty();
    if (!applied.empty() && applied.size() <= internal::max_pushed_records && hops > 0) {
        push(applied, hops, actions);
    }
}

void view_sync::push(const std::vector<platform_record>& records, std::uint32_t hops,
                     action_list& actions) {
    std::vector<host_id> members;
    for (const auto& [id, member] : view_.members()) {
        if (member.state != member_state::dead) {
            members.push_back(id);
        }
    }
    std::vector<host_id> receivers;
    std::sample(members.begin(), members.end(), std::back_inserter(receivers),
                settings_.push_fanout, random_);
    for (const host_id& receiver : receivers) {
        actions.emplace_back(
            send_to_peer{receiver, view_.peer_address(receiver), view_push{hops, records}});
    }
}

void view_sync::pull(time_point now, const host_id& peer, action_list& actions) {
    difference_.reset();
    next_pull_ = now + settings_.view_pull_interval;
    const std::string address = view_.peer_address(peer);
    if (address.empty()) {
        return;
    }
    view_request request;
    for (const platform_record& record : view_.records()) {
        request.known.push_back(record_revision{record_key(record), record.revision});
    }
    actions.emplace_back(send_to_peer{peer, address, std::move(request)});
}

void view_sync::check_difference(time_point now, action_list& actions) {
    if (!difference_.has_value() || now < next_pull_ ||
        now < difference_->wait_since + settings_.view_pull_interval) {
        return;
    }
    // A pull request lists the revisions of all records. It is delayed because most differences
    // come from pushes that have not arrived yet.
    const bool is_resolved = difference_->peer_digest == view_.digest();
    const bool own_view_changed = difference_->own_digest != view_.digest() &&
                                  now < difference_->since + internal::max_difference_intervals *
                                                                 settings_.view_pull_interval;
    if (is_resolved) {
        difference_.reset();
    } else if (own_view_changed) {
        difference_->wait_since = now;
        difference_->own_digest = view_.digest();
    } else {
        pull(now, host_id{difference_->peer}, actions);
    }
}

} // namespace lovagemoor::core
