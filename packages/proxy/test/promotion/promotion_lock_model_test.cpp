#include <lovagemoor/core/overloaded.hpp>
#include <lovagemoor/proxy/promotion/failover_coordinator.hpp>
#include <lovagemoor/proxy/promotion/promotion_lock_claim.hpp>
#include <lovagemoor/proxy/promotion/promotion_token.hpp>
#include <lovagemoor/proxy/registry/registry_era_tracker.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// @file
/// @brief Bounded exhaustive model of the promotion lock over a registry that comes back from older
/// copies. Two hosts run the engine's own failover_coordinator, promotion_lock_claim and
/// registry_era_tracker; the model plays the registry, the promotion endpoint and the loss of
/// messages. Both hosts always need a failover, and no promotion call is answered, so each holder
/// uses the lock until its end.

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

constexpr core::duration tick_length = 250ms;
constexpr std::chrono::milliseconds lock_duration = failover_settings{}.lock_duration;
/// Four ticks, the first ones after the time limit of calls (0.8 s).
constexpr int call_timeout = 4;
/// Duration of the leases of the hosts' registrations.
constexpr core::duration registration_duration = 9s;
/// Time limit for the first promotion call after the last fault (RECOVER).
constexpr core::duration recovery_time = 12s;

constexpr std::size_t hosts = 2;

const core::service_id service{"s"};
const core::target_id primary{"p"};
constexpr std::string_view demotion_key = "lovagemoor/demotions/s";
const core::target_id replica{"r"};

core::time_point time_of(int tick) {
    return core::time_point{100s} + tick * tick_length;
}

/// @brief Rules that a model can leave out, to show that they are needed.
enum class omitted_rule : std::uint8_t {
    none,
    token_with_era,
    give_up_on_return,
    wait_before_claim,
    announcement_of_own_era,
    replacement_of_overdue_lock,
};

/// @brief What happens to a call of a host to the registry.
struct call_fault {
    enum class kind : std::uint8_t {
        none,
        not_executed,
        not_answered,
        executed_late,
        answered_late
    };
    kind what = kind::none;
    /// Ticks until it is executed or answered.
    int delay = 0;
};

struct scenario {
    /// Ticks at which the registry comes back, and the ages of the copies in ticks.
    std::vector<std::pair<int, int>> returns;
    /// Host that does not reach the registry from cut_from to before cut_until.
    std::size_t cut_host = 0;
    int cut_from = 0;
    int cut_until = 0;
    /// Number of the call that is disturbed, in the order in which the hosts make them.
    int disturbed_call = 0;
    call_fault fault{};
    /// Tick at which the second host starts.
    int second_start = 0;

    [[nodiscard]] bool cut(std::size_t host, int tick) const {
        return host == cut_host && tick >= cut_from && tick < cut_until;
    }

    [[nodiscard]] std::string name() const {
        std::string text = "returns";
        for (const auto& [tick, age] : returns) {
            text += ' ' + std::to_string(tick) + " (age " + std::to_string(age) + ')';
        }
        return text + ", host " + std::to_string(cut_host) + " cut off from " +
               std::to_string(cut_from) + " to " + std::to_string(cut_until) + ", call " +
               std::to_string(disturbed_call) + " fault " +
               std::to_string(static_cast<int>(fault.what)) + " delay " +
               std::to_string(fault.delay) + ", second host starts at " +
               std::to_string(second_start);
    }
};

/// @brief The registry. Revisions and leases are given out again after a return.
class model_registry {
public:
    [[nodiscard]] registry_era era() const { return era_; }

    [[nodiscard]] registry_revision revision() const { return counters_.revision; }

    [[nodiscard]] std::optional<registry_item> item(const std::string& key) const {
        const auto found = items_.find(key);
        return found == items_.end() ? std::nullopt : std::optional{found->second};
    }

    void advance(int tick) {
        for (const auto& [lease, end] : std::map{leases_}) {
            if (time_of(tick) >= end) {
                leases_.erase(lease);
                const std::size_t removed =
                    std::erase_if(items_, [ended = lease](const auto& entry) {
                        return entry.second.lease == ended;
                    });
                counters_.revision += removed > 0 ? 1 : 0;
            }
        }
        history_.push_back(counters_);
    }

    /// @brief Comes back from a copy, without what was written since and without leases.
    void come_back(int age) {
        const std::size_t newest = history_.size() - 1;
        const std::size_t kept = newest - std::min(newest, static_cast<std::size_t>(age));
        counters_ = history_.at(kept);
        std::fill(history_.begin() + static_cast<std::ptrdiff_t>(kept), history_.end(), counters_);
        std::erase_if(items_, [this](const auto& entry) {
            return entry.second.lease != 0 || entry.second.revision > counters_.revision;
        });
        leases_.clear();
        ++era_;
    }

    lease_outcome grant(int tick, core::duration duration) {
        leases_[++counters_.lease] = time_of(tick) + duration;
        return {registry_status::done, counters_.lease,
                std::chrono::duration_cast<std::chrono::milliseconds>(duration), era_};
    }

    /// @return False if the lease has ended.
    bool renew(int tick, lease_id lease, core::duration duration) {
        const auto found = leases_.find(lease);
        if (found == leases_.end()) {
            return false;
        }
        found->second = time_of(tick) + duration;
        return true;
    }

    write_outcome write(const write_items& call) {
        for (const expected_revision& expected : call.expected) {
            const auto found = items_.find(expected.key);
            if ((found == items_.end() ? 0 : found->second.revision) != expected.revision) {
                return {registry_status::conflict, 0, era_};
            }
        }
        for (const item_write& written : call.writes) {
            if (written.lease != 0 && !leases_.contains(written.lease)) {
                return {registry_status::lease_ended, 0, era_};
            }
        }
        ++counters_.revision;
        for (const item_write& written : call.writes) {
            items_[written.key] = {written.key, written.value, counters_.revision, written.lease};
        }
        return {registry_status::done, counters_.revision, era_};
    }

private:
    struct counters {
        registry_revision revision = 1;
        lease_id lease = 0;
    };

    registry_era era_ = promotion_token::first_era;
    counters counters_;
    std::map<std::string, registry_item> items_;
    std::map<lease_id, core::time_point> leases_;
    /// The counters at each tick.
    std::vector<counters> history_;
};

struct model_result {
    /// Empty if no rule was broken.
    std::string violation;
    int calls = 0;
    /// Time from the last fault to the first call of a host that acquired the lock after the last
    /// return.
    std::optional<core::duration> recovered_after = std::nullopt;
};

class lock_model {
public:
    lock_model(const scenario& played, omitted_rule omitted) : played_{played}, omitted_{omitted} {
        state_[0].id = core::host_id{"a"};
        state_[1].id = core::host_id{"b"};
    }

    model_result run() {
        const int ticks = last_fault() + static_cast<int>(recovery_time / tick_length);
        for (tick_ = 0; tick_ < ticks && result_.violation.empty(); ++tick_) {
            registry_.advance(tick_);
            for (const auto& [tick, age] : played_.returns) {
                if (tick == tick_) {
                    registry_.come_back(age);
                }
            }
            // Entries are added while others run.
            for (std::size_t next = 0; next < due_.size(); ++next) {
                if (due_[next].first == tick_) {
                    const std::function<void()> action = std::exchange(due_[next].second, {});
                    action();
                }
            }
            for (std::size_t host = 0; host < hosts; ++host) {
                if (host == 0 || tick_ >= played_.second_start) {
                    run_host(host);
                }
            }
            check_holders();
        }
        if (!result_.recovered_after.has_value()) {
            fail("no host promotes after the last fault");
        }
        return result_;
    }

private:
    struct host_state {
        core::host_id id;
        failover_coordinator coordinator;
        promotion_lock_claim claim;
        registry_era_tracker eras;
        lease_id registration = 0;
        /// Lock that this host's follower has passed on.
        std::optional<registry_revision> followed_lock;
        /// Time at which the newest claim was sent.
        core::time_point claimed_at;
        /// Token of the lock that this host acquired last.
        promotion_token token;
        /// End of the lease that the host trusts, without the margin.
        core::time_point trusts_until;
    };

    void fail(const std::string& text) {
        if (result_.violation.empty()) {
            result_.violation =
                text + " at tick " + std::to_string(tick_) + " (" + played_.name() + ')';
        }
    }

    [[nodiscard]] int last_fault() const {
        int last = played_.second_start;
        for (const auto& [tick, age] : played_.returns) {
            last = std::max(last, tick);
        }
        return last;
    }

    [[nodiscard]] core::time_point now() const { return time_of(tick_); }

    void after(int ticks, std::function<void()> action) {
        due_.emplace_back(tick_ + ticks, std::move(action));
    }

    [[nodiscard]] static promotion_token token_of(const host_state& host,
                                                  registry_revision revision) {
        return *promotion_token::make(host.eras.current(), revision);
    }

    /// @return False if the answer belongs to an earlier era.
    bool accept_answer(host_state& host, const std::optional<registry_era>& era) {
        using assignment = registry_era_tracker::assignment;
        const assignment assigned = host.eras.assign(era);
        if (assigned == assignment::newer) {
            host.followed_lock.reset();
            host.registration = 0;
            if (omitted_ != omitted_rule::give_up_on_return) {
                host.coordinator.on_registry_restored();
            }
        }
        if (host.claim.on_era(now(), host.eras.current())) {
            host.coordinator.on_promotion_lock_answered(now(), {});
        }
        return assigned != assignment::outdated;
    }

    /// @brief Makes a call to the registry, which may be disturbed.
    template <typename Result>
    void call(std::size_t host, std::function<Result()> execute,
              std::function<void(const Result&)> done) {
        using kind = call_fault::kind;
        ++call_number_;
        call_fault fault = call_number_ == played_.disturbed_call ? played_.fault : call_fault{};
        if (played_.cut(host, tick_)) {
            fault = {kind::not_executed};
        }
        const std::function<void()> time_out = [done] { done(Result{}); };
        switch (fault.what) {
        case kind::none:
            done(execute());
            break;
        case kind::not_executed:
            after(call_timeout, time_out);
            break;
        case kind::not_answered:
            execute();
            after(call_timeout, time_out);
            break;
        case kind::executed_late:
            after(fault.delay, [execute] { execute(); });
            after(call_timeout, time_out);
            break;
        case kind::answered_late:
            after(fault.delay, [done, outcome = execute()] { done(outcome); });
            break;
        }
    }

    void run_host(std::size_t index) {
        host_state& host = state_.at(index);
        if (!played_.cut(index, tick_)) {
            register_host(host);
            follow_lock(host);
        }
        for (const failover_step& step : host.coordinator.advance(
                 now(),
                 {failover_input{
                     service, primary, promotion_cause::primary_lost, {{replica, false}}, 0, 4}})) {
            std::visit(
                core::overloaded{
                    [&](const request_promotion_lock& request) {
                        claim_lock(index, request.duration);
                    },
                    [&](const inspect_replicas&) {
                        host.coordinator.on_status(now(), service, replica,
                                                   {false, {4, 7}, 0, 0ms});
                    },
                    [&](const announce_demotion& announcement) { announce(index, announcement); },
                    [&](const call_promotion& promotion) {
                        record_call(index, promotion.fencing_token);
                    },
                    [](const auto&) {},
                },
                step);
        }
    }

    void register_host(host_state& host) {
        if (host.registration == 0 ||
            !registry_.renew(tick_, host.registration, registration_duration)) {
            const lease_outcome granted = registry_.grant(tick_, registration_duration);
            accept_answer(host, granted.era);
            host.registration = granted.lease;
        }
    }

    void follow_lock(host_state& host) {
        accept_answer(host, registry_.era());
        const std::optional<registry_item> item = registry_.item(std::string{promotion_lock_key});
        if (!item.has_value()) {
            if (std::exchange(host.followed_lock, std::nullopt).has_value()) {
                host.claim.on_lock_unknown();
                host.coordinator.on_promotion_lock_released({token_of(host, registry_.revision())});
            }
            return;
        }
        if (std::exchange(host.followed_lock, item->revision) == item->revision) {
            return;
        }
        host.claim.on_lock_seen(now(), item->revision);
        switch (host.claim.owner_of(*item, host.id)) {
        case promotion_lock_owner::other:
            host.coordinator.on_promotion_lock_taken(now(), {token_of(host, item->revision)});
            break;
        case promotion_lock_owner::pending_claim:
            finish_claim(host, {promotion_lock_result::acquired, token_of(host, item->revision)});
            break;
        case promotion_lock_owner::known_claim:
            break;
        }
    }

    void claim_lock(std::size_t index, std::chrono::milliseconds duration) {
        host_state& host = state_.at(index);
        const std::chrono::milliseconds wait = host.claim.time_until_claim(now(), duration);
        if (wait.count() > 0 && omitted_ != omitted_rule::wait_before_claim) {
            host.coordinator.on_promotion_lock_answered(
                now(), {promotion_lock_result::too_early, {}, {}, wait});
            return;
        }
        const promotion_lock_claim::claim_number number = host.claim.start(now(), duration);
        host.claimed_at = now();
        call<lease_outcome>(
            index, [this, duration] { return registry_.grant(tick_, duration); },
            [this, index, number](const lease_outcome& granted) {
                host_state& claimant = state_.at(index);
                const bool accepted = granted.status == registry_status::unknown ||
                                      accept_answer(claimant, granted.era);
                if (!claimant.claim.pending(number)) {
                    return;
                }
                if (!accepted || granted.status != registry_status::done) {
                    finish_claim(claimant, {});
                    return;
                }
                claimant.claim.on_granted(granted.lease);
                write_claim(index, number);
            });
    }

    void write_claim(std::size_t index, promotion_lock_claim::claim_number number) {
        const host_state& host = state_.at(index);
        write_items claim = host.claim.claim_of(now(), host.id);
        if (omitted_ == omitted_rule::replacement_of_overdue_lock) {
            claim.expected.front().revision = 0;
        }
        call<write_outcome>(
            index, [this, claim] { return registry_.write(claim); },
            [this, index, number](const write_outcome& written) {
                host_state& claimant = state_.at(index);
                const bool accepted = written.status == registry_status::unknown ||
                                      accept_answer(claimant, written.era);
                if (!claimant.claim.pending(number) || !accepted) {
                    return;
                }
                if (written.status == registry_status::done) {
                    finish_claim(claimant, {promotion_lock_result::acquired,
                                            token_of(claimant, written.revision)});
                } else if (written.status == registry_status::conflict) {
                    finish_claim(claimant, {promotion_lock_result::held_by_other, {}});
                } else if (written.status == registry_status::lease_ended) {
                    finish_claim(claimant, {});
                }
            });
    }

    void finish_claim(host_state& host, promotion_lock_answered result) {
        if (!host.claim.pending()) {
            return;
        }
        result.valid_for = host.claim.finish(now());
        if (result.result == promotion_lock_result::acquired) {
            host.token = result.fencing_token;
            host.trusts_until = host.claimed_at + lock_duration;
            for (const host_state& other : state_) {
                if (&other != &host && now() < other.trusts_until) {
                    fail("the lock is acquired within the lease of another host");
                }
            }
        }
        host.coordinator.on_promotion_lock_answered(now(), result);
    }

    void announce(std::size_t index, const announce_demotion& announcement) {
        write_items call_made{
            lock_conditions(announcement.fencing_token), {{std::string{demotion_key}, "", 0}}, {}};
        if (omitted_ == omitted_rule::announcement_of_own_era) {
            call_made.expected.resize(1);
        }
        call<write_outcome>(
            index,
            [this, index, call_made] {
                const write_outcome outcome = registry_.write(call_made);
                const std::optional<registry_item> lock =
                    registry_.item(std::string{promotion_lock_key});
                if (outcome.status == registry_status::done &&
                    lock->value != state_.at(index).id.value) {
                    fail("a demotion is published under the lock of another host");
                }
                return outcome;
            },
            [this, index, demotion = announcement.demotion](const write_outcome& outcome) {
                host_state& host = state_.at(index);
                const bool accepted =
                    outcome.status != registry_status::unknown && accept_answer(host, outcome.era);
                host.coordinator.on_demotion_published(
                    now(), {demotion, accepted && outcome.status == registry_status::done});
            });
    }

    void record_call(std::size_t host, const promotion_token& token) {
        ++result_.calls;
        const std::uint64_t sent =
            omitted_ == omitted_rule::token_with_era ? token.lock_revision() : token.value();
        if (sent < highest_token_) {
            fail("the token " + std::to_string(sent) + " is lower than an earlier one");
        }
        highest_token_ = sent;
        const auto [holder, is_new] = token_holders_.emplace(sent, host);
        if (!is_new && holder->second != host) {
            fail("two hosts used the token " + std::to_string(sent));
        }
        if (played_.cut(host, tick_)) {
            return;
        }
        if (tick_ > last_fault() && token.era() == registry_.era() &&
            !result_.recovered_after.has_value()) {
            result_.recovered_after = (tick_ - last_fault()) * tick_length;
        }
        if (!registry_.item(std::string{demotion_key}).has_value()) {
            fail("the registry has forgotten the demotion that a promotion call relies on");
        }
    }

    void check_holders() {
        const auto holders =
            std::count_if(state_.begin(), state_.end(), [this](const host_state& host) {
                return host.coordinator.holds_promotion_lock(now());
            });
        if (holders > 1) {
            fail("two hosts hold the lock");
        }
    }

    const scenario& played_;
    omitted_rule omitted_;
    model_registry registry_;
    std::array<host_state, hosts> state_;
    std::vector<std::pair<int, std::function<void()>>> due_;
    std::map<std::uint64_t, std::size_t> token_holders_;
    std::uint64_t highest_token_ = 0;
    int call_number_ = 0;
    int tick_ = 0;
    model_result result_;
};

using cut = std::array<int, 3>;

/// @return Cuts of each host that begin around the tick, and last for 2 s or to the end.
std::vector<cut> cuts_around(int tick) {
    std::vector<cut> cuts{{0, 0, 0}};
    for (int host = 0; host < static_cast<int>(hosts); ++host) {
        for (const int from : {tick - 4, tick - 1, tick, tick + 2}) {
            cuts.push_back({host, from, from + 8});
            cuts.push_back({host, from, std::numeric_limits<int>::max()});
        }
    }
    return cuts;
}

std::vector<call_fault> faults_of_calls() {
    using kind = call_fault::kind;
    return {{kind::not_executed, 0},  {kind::not_answered, 0},   {kind::executed_late, 2},
            {kind::executed_late, 5}, {kind::executed_late, 13}, {kind::executed_late, 18},
            {kind::answered_late, 1}, {kind::answered_late, 3}};
}

/// The first lock ends at tick 12, so a return may come at each step of the first two locks.
constexpr int last_return = 16;
/// Calls that are made until then, and the first ones after it.
constexpr int disturbed_calls = 9;

/// @brief A return at every step, one host cut off or none, one call disturbed or none.
void for_each_return(const std::function<void(const scenario&)>& play) {
    for (int tick = 1; tick <= last_return; ++tick) {
        for (const int age : {0, 3, 12}) {
            for (const auto& [host, from, until] : cuts_around(tick)) {
                scenario next{{{tick, age}}, static_cast<std::size_t>(host), from, until};
                play(next);
                for (next.disturbed_call = 1; next.disturbed_call <= disturbed_calls;
                     ++next.disturbed_call) {
                    for (const call_fault& fault : faults_of_calls()) {
                        next.fault = fault;
                        play(next);
                    }
                }
            }
        }
    }
}

/// @brief Two returns in succession, one host cut off or none.
void for_each_pair_of_returns(const std::function<void(const scenario&)>& play) {
    for (int tick = 1; tick <= last_return; ++tick) {
        for (int second = tick + 1; second <= tick + last_return; ++second) {
            for (const int age : {0, 3}) {
                for (const auto& [host, from, until] : cuts_around(tick)) {
                    play({{{tick, 1}, {second, age}}, static_cast<std::size_t>(host), from, until});
                }
            }
        }
    }
}

/// @brief The second host starts before or after the return, while the first one may be cut off.
void for_each_start(const std::function<void(const scenario&)>& play) {
    for (int tick = 1; tick <= last_return; ++tick) {
        for (const auto& [host, from, until] : cuts_around(tick)) {
            for (int start = tick - 1; start <= tick + last_return; ++start) {
                play({{{tick, 1}}, static_cast<std::size_t>(host), from, until, 0, {}, start});
            }
        }
    }
}

struct model_totals {
    int scenarios = 0;
    int calls = 0;
    core::duration longest_recovery{0};
    int violations = 0;
    std::string first_violation;
};

model_totals play_all(omitted_rule omitted) {
    model_totals totals;
    const auto play = [&](const scenario& next) {
        if (omitted != omitted_rule::none && totals.violations > 0) {
            return;
        }
        const model_result result = lock_model{next, omitted}.run();
        ++totals.scenarios;
        totals.calls += result.calls;
        totals.longest_recovery =
            std::max(totals.longest_recovery, result.recovered_after.value_or(recovery_time));
        if (!result.violation.empty() && totals.violations++ == 0) {
            totals.first_violation = result.violation;
        }
    };
    for_each_return(play);
    for_each_pair_of_returns(play);
    for_each_start(play);
    return totals;
}

struct omission_case {
    const char* name;
    omitted_rule omitted;

    friend std::ostream& operator<<(std::ostream& output, const omission_case& sample) {
        return output << sample.name;
    }
};

const std::vector<omission_case> omissions{
    {"tokens without the era", omitted_rule::token_with_era},
    {"a lock of an earlier era is kept", omitted_rule::give_up_on_return},
    {"no wait before a claim", omitted_rule::wait_before_claim},
    {"announcements without their era", omitted_rule::announcement_of_own_era},
    {"an overdue lock is kept", omitted_rule::replacement_of_overdue_lock},
};

} // namespace

// Guards against two holders of the promotion lock within a lease, tokens that repeat or fall,
// demotions that are published under the lock of another host, and a lock that nobody can acquire,
// when the registry comes back from an older copy at any step (ONE, RECOVER).
BOOST_AUTO_TEST_CASE(one_host_holds_the_lock_whenever_the_registry_comes_back) {
    const model_totals totals = play_all(omitted_rule::none);
    BOOST_TEST_MESSAGE(totals.scenarios << " scenarios, " << totals.calls
                                        << " promotion calls, the first one at most "
                                        << totals.longest_recovery / 1ms
                                        << " ms after the last fault");
    BOOST_TEST(totals.violations == 0, totals.violations
                                           << " of " << totals.scenarios
                                           << " scenarios: " << totals.first_violation);
    BOOST_TEST(totals.calls > totals.scenarios);
}

// Guards against a model that cannot fail: without any one of the rules it finds a violation.
BOOST_DATA_TEST_CASE(each_rule_of_the_lock_is_needed, boost::unit_test::data::make(omissions),
                     sample) {
    const model_totals totals = play_all(sample.omitted);
    BOOST_TEST_MESSAGE(totals.first_violation);
    BOOST_TEST(totals.violations == 1);
}

} // namespace lovagemoor::proxy
