#include <lovagemoor/proxy/quota/quota_client.hpp>
#include <lovagemoor/proxy/quota/quota_owner.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t host_total = 109;
constexpr std::size_t organisation_total = 76;
constexpr std::size_t hot = 0;
/// Load of the organisation that exceeds its quota, as a multiple of its usual one.
constexpr double hot_factor = 7.5;
constexpr double quota_factor = 1.6;
/// Operations per second of all organisations together: those of the three routes, of which 40% of
/// the ones on the primary are transactions.
constexpr double usual_rate = 936;
constexpr double zipf_exponent = 1.2;
constexpr core::duration load_time = 30s;
const core::time_point load_start{std::chrono::hours{1}};

const quota_settings rule{5000ms, 0.1, 20, 250ms};

/// @brief A token bucket that one place keeps for all hosts: what an exact quota would serve.
class exact_quota {
public:
    explicit exact_quota(const organisation& limits)
        : rate_per_s_{limits.rate_per_s}, burst_{limits.burst}, level_{limits.burst} {}

    bool take(core::time_point now) {
        level_ = std::min(burst_, level_ + std::chrono::duration<double>{now - last_}.count() *
                                               rate_per_s_);
        last_ = now;
        if (level_ < 1) {
            return false;
        }
        level_ -= 1;
        return true;
    }

private:
    double rate_per_s_;
    double burst_;
    double level_;
    core::time_point last_ = load_start;
};

struct tally {
    std::size_t arrived = 0;
    /// Operations that an exact quota would serve.
    std::size_t below_limit = 0;
    std::vector<core::time_point> served;
    std::size_t refused = 0;
    /// Refused operations that an exact quota would serve.
    std::size_t refused_below_limit = 0;
};

/// @brief 109 hosts that each serve a part of the callers of every organisation, on a network
/// without faults.
class replay {
public:
    replay() {
        double shares = 0;
        for (std::size_t index = 0; index < organisation_total; ++index) {
            shares += std::pow(static_cast<double>(index + 1), -zipf_exponent);
        }
        for (std::size_t index = 0; index < organisation_total; ++index) {
            const double usual =
                usual_rate * std::pow(static_cast<double>(index + 1), -zipf_exponent) / shares;
            organisation added;
            added.id = core::organisation_id{"organisation-" + std::to_string(index)};
            added.rate_per_s = usual * quota_factor;
            added.burst = std::max(10.0, added.rate_per_s);
            limits_.push_back(added);
            listed_[added.id] = added;
            exact_.emplace_back(added);
            loads_.push_back(usual * (index == hot ? hot_factor : 1));
        }
        for (std::size_t host = 0; host < host_total; ++host) {
            clients_.emplace_back(rule);
            clients_.back().configure(load_start - 1min, listed_);
        }
        for (quota_slot slot = 0; slot < quota_slot_count; ++slot) {
            owners_.emplace_back(rule, 9000ms);
            owners_.back().configure(load_start - 1min, listed_);
            owners_.back().acquire(load_start - 1min, slot);
        }
        tallies_.resize(organisation_total);
        waiting_.resize(host_total);
    }

    void run() {
        for (std::size_t index = 0; index < organisation_total; ++index) {
            schedule_arrival(index, load_start);
        }
        while (!events_.empty()) {
            now_ = events_.begin()->first.first;
            const std::function<void()> next = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            next();
        }
    }

    [[nodiscard]] const std::vector<tally>& tallies() const noexcept { return tallies_; }

    [[nodiscard]] const organisation& limits(std::size_t index) const { return limits_.at(index); }

    [[nodiscard]] std::size_t messages() const noexcept { return messages_; }

    [[nodiscard]] core::duration longest_wait() const noexcept { return longest_wait_; }

private:
    struct operation {
        core::time_point arrived;
        bool below_limit = false;
        bool asked = false;
    };

    void at(core::time_point time, std::function<void()> run) {
        events_.emplace(std::pair{time, ++order_}, std::move(run));
    }

    void schedule_arrival(std::size_t organisation, core::time_point after) {
        const core::time_point next =
            after + std::chrono::ceil<core::duration>(std::chrono::duration<double>{
                        std::exponential_distribution<double>{loads_[organisation]}(random_)});
        if (next >= load_start + load_time) {
            return;
        }
        at(next, [this, organisation, next] {
            const std::size_t host = random_() % host_total;
            tally& counted = tallies_[organisation];
            ++counted.arrived;
            const bool below_limit = exact_[organisation].take(now_);
            counted.below_limit += below_limit ? 1 : 0;
            waiting_[host][organisation].push_back({now_, below_limit, false});
            serve(host, organisation);
            schedule_arrival(organisation, next);
        });
    }

    void serve(std::size_t host, std::size_t organisation) {
        quota_client& client = clients_[host];
        const core::organisation_id& id = limits_[organisation].id;
        // The owners' leases are renewed.
        for (quota_owner& owner : owners_) {
            owner.on_lease_renewed(now_);
        }
        std::deque<operation>& queue = waiting_[host][organisation];
        while (!queue.empty()) {
            operation& next = queue.front();
            if (client.take(now_, id)) {
                tallies_[organisation].served.push_back(now_);
                longest_wait_ = std::max(longest_wait_, now_ - next.arrived);
                queue.pop_front();
                continue;
            }
            const quota_client::outcome asked =
                client.ask(now_, id, !std::exchange(next.asked, true));
            if (asked.refusal.has_value()) {
                ++tallies_[organisation].refused;
                tallies_[organisation].refused_below_limit += next.below_limit ? 1 : 0;
                longest_wait_ = std::max(longest_wait_, now_ - next.arrived);
                queue.pop_front();
                continue;
            }
            if (asked.request.has_value()) {
                send(host, organisation, *asked.request);
            }
            for (operation& other : queue) {
                if (!std::exchange(other.asked, true)) {
                    static_cast<void>(client.ask(now_, id, true));
                }
            }
            return;
        }
    }

    void send(std::size_t host, std::size_t organisation, const quota_request& request) {
        ++messages_;
        at(now_ + delay(), [this, host, organisation, request] {
            const quota_owner::answer answer = owners_[request.slot].grant(
                now_, request.organisation, request.slot, request.wanted);
            at(now_ + delay(), [this, host, organisation, request, answer] {
                clients_[host].on_grant(now_, {request.number, answer.granted, rule.grant_validity,
                                               answer.retry_after, answer.not_owner});
                serve(host, organisation);
            });
        });
    }

    core::duration delay() {
        return core::duration{std::uniform_int_distribution<int>{500, 3000}(random_)};
    }

    std::mt19937 random_{7};
    core::time_point now_ = load_start;
    std::uint64_t order_ = 0;
    std::map<std::pair<core::time_point, std::uint64_t>, std::function<void()>> events_;
    std::vector<organisation> limits_;
    std::map<core::organisation_id, organisation> listed_;
    std::vector<exact_quota> exact_;
    std::vector<double> loads_;
    std::deque<quota_client> clients_;
    std::deque<quota_owner> owners_;
    std::vector<std::map<std::size_t, std::deque<operation>>> waiting_;
    std::vector<tally> tallies_;
    std::size_t messages_ = 0;
    core::duration longest_wait_{0};
};

std::size_t most_in_a_window(const std::vector<core::time_point>& times) {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= rule.window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

// Guards against a quota whose division between hosts and slots refuses what is below the limit.
// Load: one organisation sends 7.5 times its usual beside 75 others.
BOOST_AUTO_TEST_CASE(organisations_below_their_limit_are_served_beside_one_far_above_it) {
    replay load;
    load.run();
    std::size_t below_limit = 0;
    std::size_t served_below_limit = 0;
    std::size_t arrived = 0;
    for (std::size_t index = 0; index < organisation_total; ++index) {
        const tally& counted = load.tallies()[index];
        BOOST_TEST(counted.served.size() + counted.refused == counted.arrived);
        BOOST_TEST(static_cast<double>(most_in_a_window(counted.served)) <=
                       window_limit(load.limits(index), rule),
                   "organisation " << index);
        arrived += counted.arrived;
        below_limit += counted.below_limit;
        // Of the organisation above its limit, any operations may be the refused ones.
        served_below_limit += index == hot ? std::min(counted.below_limit, counted.served.size())
                                           : counted.below_limit - counted.refused_below_limit;
    }
    const tally& above = load.tallies()[hot];
    BOOST_TEST_MESSAGE("arrived " << arrived << ", below the limit " << below_limit << ", served "
                                  << served_below_limit << "; above the limit: " << above.arrived
                                  << " arrived, " << above.below_limit << " below, "
                                  << above.served.size() << " served; requests " << load.messages()
                                  << ", longest wait " << load.longest_wait().count() << " us");
    BOOST_TEST(static_cast<double>(served_below_limit) >= 0.99 * static_cast<double>(below_limit));
    BOOST_TEST(static_cast<double>(above.served.size()) >=
               0.99 * static_cast<double>(above.below_limit));
}

} // namespace lovagemoor::proxy
