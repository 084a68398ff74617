#include "../registry/registry_model.hpp"

#include <lovagemoor/core/overloaded.hpp>
#include <lovagemoor/proxy/registry/configuration_proof.hpp>
#include <lovagemoor/proxy/registry/registry_era_tracker.hpp>
#include <lovagemoor/proxy/registry/registry_follower.hpp>
#include <lovagemoor/proxy/registry/revision_window.hpp>
#include <lovagemoor/proxy/relay/registry_source.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// @file
/// @brief Hosts that follow the registry through relays, against the model of the registry and a
/// model of the link with relays that fail.

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;
using model::model_store;
using model::schedule;
using std::chrono::milliseconds;

constexpr const char* configuration_key = "p/configuration";

class model_host;

/// @brief Carries messages between hosts. The index of a host identifies it.
class model_link {
public:
    model_link(schedule& tasks, model_store& store) : tasks_{tasks}, store_{store} {}

    void add(model_host& host) { hosts_.push_back(&host); }

    [[nodiscard]] std::size_t index_of(const core::host_id& host) const;

    /// @brief Runs a function on a host when a message sent now arrives. Dropped if one of the
    /// hosts' channel ends before.
    void deliver(std::size_t from, std::size_t to, std::function<void(model_host&)> arrival);

    /// @brief Ends all channels of a host.
    void cut(std::size_t host);

    milliseconds latency_max{5};

private:
    [[nodiscard]] int& epoch(std::size_t one, std::size_t other) {
        return epochs_[std::minmax(one, other)];
    }

    schedule& tasks_;
    model_store& store_;
    std::vector<model_host*> hosts_;
    std::map<std::pair<std::size_t, std::size_t>, int> epochs_;
    /// Arrival of the last message, by sender and receiver.
    std::map<std::pair<std::size_t, std::size_t>, core::time_point> last_arrivals_;
};

/// @brief Runs the registry's clients of a host as session_host does.
class model_host {
public:
    model_host(schedule& tasks, model_store& store, model_link& link, std::size_t index,
               std::vector<link_peer> peers)
        : tasks_{tasks}, store_{store}, link_{link}, index_{index}, peers_{std::move(peers)} {
        start();
    }

    /// @brief Begins to make calls. All hosts must have been added to the link.
    void begin() { poll(); }

    [[nodiscard]] const core::host_id& id() const { return peers_[index_].host; }

    [[nodiscard]] std::map<std::string, std::string> view() const {
        std::map<std::string, std::string> values;
        for (const auto& [key, item] : followed_) {
            values[key] = item.value;
        }
        return values;
    }

    [[nodiscard]] bool is_relay() const { return source_->selector().is_relay(); }

    /// @brief Runs a task now, or when the host runs again.
    void run(const std::function<void()>& task) {
        if (frozen_) {
            backlog_.push_back(task);
        } else if (!dead_) {
            task();
        }
    }

    /// @brief Ends the process and starts another one later.
    void kill(milliseconds duration) {
        if (dead_ || frozen_) {
            return;
        }
        dead_ = true;
        ++life_;
        link_.cut(index_);
        tasks_.after(duration, [this] {
            dead_ = false;
            start();
        });
    }

    /// @param noticed Silence ends the host's channels, as pings are not answered.
    void freeze(milliseconds duration, bool noticed) {
        if (dead_ || frozen_) {
            return;
        }
        frozen_ = true;
        if (noticed && duration > 1100ms) {
            tasks_.after(1100ms, [this] { link_.cut(index_); });
        }
        tasks_.after(duration, [this] {
            frozen_ = false;
            for (const std::function<void()>& task : std::exchange(backlog_, {})) {
                task();
            }
        });
    }

    /// Calls to the registry are not answered.
    bool cut_off = false;

    [[nodiscard]] registry_source& source() { return *source_; }

    /// Calls to the registry after settling_time, proofs included.
    int late_registry_calls = 0;
    int relayed_calls = 0;
    std::string violation;

private:
    static constexpr milliseconds call_timeout{800};
    /// Time of two proofs: the first one may lie behind what the host has read itself.
    static constexpr milliseconds settling_time{2200};

    void start() {
        ++life_;
        eras_ = {};
        window_ = {};
        followed_.clear();
        configuration_revision_ = 0;
        configuration_value_ = 0;
        follower_revision_ = 0;
        proof_.emplace("p/", 1000ms);
        follower_ = std::make_shared<registry_follower>(
            "p/", follower_settings{
                      .watch_pause = 100ms, .watch_pause_max = 800ms, .check_interval = 2400ms});
        relay_settings settings;
        settings.threshold = 0;
        source_ = std::make_unique<registry_source>(id(), peers_[index_].domain, "p/",
                                                    std::set<std::string>{"p/"}, settings,
                                                    source_hooks());
        source_->on_peers(peers_);
    }

    registry_source::hooks source_hooks() {
        registry_source::hooks result;
        result.now = [this] { return tasks_.now(); };
        result.current_era = [this] { return eras_.current(); };
        result.accept_answer = [this](const std::optional<registry_era>& era) {
            return accept(era);
        };
        result.list = [this](const list_items& made, std::function<void(const item_page&)> done) {
            call<item_page>([&](const auto& finish) { store_.list(made, finish); }, call_timeout,
                            done);
        };
        result.watch = [this](const watch_items& made,
                              std::function<void(const item_changes&)> done) {
            call<item_changes>([&](const auto& finish) { store_.watch(made, finish); },
                               made.wait + call_timeout, done);
        };
        result.send_request = [this](const core::host_id& relay, const relay_request& request) {
            link_.deliver(index_, link_.index_of(relay), [this, request](model_host& target) {
                target.source_->on_request(index_, request);
            });
            return true;
        };
        result.on_settled = [](const core::host_id&) {};
        result.send_answer = [this](relay_service::requester requester,
                                    const relay_answer& answer) {
            link_.deliver(index_, requester, [this, answer](model_host& target) {
                target.source_->on_answer(id(), answer);
            });
        };
        result.on_call = [this](const registry_source::call&, registry_source::purpose,
                                bool relayed) {
            relayed_calls += relayed ? 1 : 0;
            late_registry_calls += !relayed && tasks_.now() > created_at_ + settling_time ? 1 : 0;
        };
        result.on_item_read = [](const registry_item&, registry_source::purpose, bool) {};
        result.on_relay_failure = [](const core::host_id&, const char*, milliseconds) {};
        return result;
    }

    bool accept(const std::optional<registry_era>& era) {
        switch (eras_.assign(era)) {
        case registry_era_tracker::assignment::current:
            return true;
        case registry_era_tracker::assignment::newer:
            window_ = {};
            configuration_revision_ = 0;
            configuration_value_ = 0;
            follower_revision_ = 0;
            source_->on_restored();
            proof_->on_restored(tasks_.now());
            follower_ = std::make_shared<registry_follower>(follower_->restored(tasks_.now(), 0ms));
            run_follower();
            return true;
        case registry_era_tracker::assignment::outdated:
            break;
        }
        return false;
    }

    /// @brief Passes on the answer of the registry, or none at the time limit of the call.
    template <typename Result, typename Call, typename Done>
    void call(const Call& make_call, milliseconds timeout, const Done& done) {
        const auto finish = [this, done, life = life_, answered = std::make_shared<bool>(false)](
                                const Result& result, bool from_store) {
            run([this, done, life, answered, result, from_store] {
                if (life != life_ || std::exchange(*answered, true)) {
                    return;
                }
                const bool accepted = !from_store || !result.era.has_value() || accept(result.era);
                done(accepted ? result : Result{});
            });
        };
        if (!cut_off) {
            make_call([finish](const Result& result) { finish(result, true); });
        }
        tasks_.after(timeout, [finish] { finish(Result{}, false); });
    }

    void poll() {
        run([this] {
            source_->poll();
            run_follower();
            check_watch();
            prove();
        });
        tasks_.after(100ms, [this] { poll(); });
    }

    void check_watch() {
        const std::optional<list_items> check =
            follower_->next_check(tasks_.now(), window_.oldest(tasks_.now()));
        if (!check.has_value()) {
            return;
        }
        source_->list(*check, registry_source::purpose::check,
                      [this, weak = std::weak_ptr<registry_follower>{follower_}](
                          const item_page& page, const registry_source::origin&) {
                          if (weak.lock() != nullptr) {
                              finish_check(page);
                          }
                      });
    }

    void finish_check(const item_page& page) {
        switch (follower_->on_check(tasks_.now(), page)) {
        case registry_follower::check_result::passed:
            break;
        case registry_follower::check_result::watch_lost:
            follower_ = std::make_shared<registry_follower>(follower_->resumed());
            break;
        case registry_follower::check_result::failed:
            if (follower_->connected()) {
                follower_ = std::make_shared<registry_follower>(follower_->restarted(tasks_.now()));
            }
            break;
        }
    }

    void run_follower() {
        const std::optional<registry_follower::call> next = follower_->next_call(tasks_.now());
        if (!next.has_value()) {
            return;
        }
        const std::weak_ptr<registry_follower> weak{follower_};
        std::visit(
            core::overloaded{
                [&](const list_items& made) {
                    source_->list(
                        made, registry_source::purpose::follow,
                        [this, weak](const item_page& page, const registry_source::origin&) {
                            if (weak.lock() != nullptr) {
                                apply(follower_->on_page(tasks_.now(), page));
                            }
                            run_follower();
                        });
                },
                [&](const watch_items& made) {
                    source_->watch(
                        made, registry_source::purpose::follow,
                        [this, weak](const item_changes& changes, const registry_source::origin&) {
                            if (weak.lock() != nullptr) {
                                apply(follower_->on_changes(tasks_.now(), changes));
                            }
                            run_follower();
                        });
                },
            },
            *next);
    }

    void apply(const registry_follower::update& update) {
        if (update.complete) {
            followed_.clear();
        }
        for (const item_change& change : update.changes) {
            if (change.removed) {
                followed_.erase(change.item.key);
            } else {
                followed_[change.item.key] = change.item;
            }
            note_configuration(change);
            if (change.item.key == configuration_key) {
                if (change.item.revision < follower_revision_) {
                    violation = "the follower went back";
                }
                follower_revision_ = change.item.revision;
            }
        }
    }

    /// @brief Applies a configuration unless a later one is known, as the engine does.
    void note_configuration(const item_change& change) {
        if (change.item.key == configuration_key &&
            change.item.revision > configuration_revision_) {
            configuration_revision_ = change.item.revision;
            configuration_value_ = std::stoi(change.item.value);
        }
    }

    void prove() {
        const std::optional<milliseconds> interval = source_->proof_interval(2500ms);
        proof_->set_interval(interval.value_or(2500ms));
        const std::optional<configuration_proof::call> next = proof_->next_call(tasks_.now());
        if (!next.has_value()) {
            return;
        }
        const auto apply_proof = [this, sent_in = eras_.current()](
                                     const registry_source::origin& source, const auto& read) {
            if (eras_.restored_since(sent_in)) {
                return;
            }
            const configuration_proof::outcome outcome = read();
            for (const item_change& change : outcome.changes) {
                note_configuration(change);
            }
            if (outcome.as_of.has_value()) {
                check_proof(*outcome.as_of - source.proof_age);
            }
        };
        std::visit(
            core::overloaded{
                [&](const list_items& made) {
                    source_->list(made, registry_source::purpose::prove,
                                  [this, apply_proof](const item_page& page,
                                                      const registry_source::origin& source) {
                                      apply_proof(source, [&] {
                                          return proof_->on_page(tasks_.now(), page);
                                      });
                                  });
                },
                [&](const watch_items& made) {
                    source_->watch(made, registry_source::purpose::prove,
                                   [this, apply_proof](const item_changes& changes,
                                                       const registry_source::origin& source) {
                                       apply_proof(source, [&] {
                                           return proof_->on_changes(tasks_.now(), changes);
                                       });
                                   });
                },
            },
            *next);
    }

    /// @brief Requires that the host knows at least the configuration of the proof's time.
    void check_proof(core::time_point as_of) {
        if (tasks_.now() - as_of > 10s) {
            return; // Proves nothing that a rule relies on, and the model forgets older states.
        }
        // A change of the same moment may have come after the call.
        const auto [era, items] = store_.items_at(as_of - core::duration{1});
        const auto stored = items.find(configuration_key);
        const int expected = stored == items.end() ? 0 : std::stoi(stored->second.value);
        if (era > eras_.current().value_or(0)) {
            violation = "a proof of an earlier era";
        } else if (era == eras_.current() && configuration_value_ < expected) {
            violation = "a proof with configuration " + std::to_string(configuration_value_) +
                        " instead of " + std::to_string(expected);
        }
    }

    schedule& tasks_;
    model_store& store_;
    model_link& link_;
    std::size_t index_;
    std::vector<link_peer> peers_;
    core::time_point created_at_ = tasks_.now();
    /// Counts starts and ends of the process.
    int life_ = 0;
    bool dead_ = false;
    bool frozen_ = false;
    std::vector<std::function<void()>> backlog_;
    registry_era_tracker eras_;
    revision_window window_;
    std::shared_ptr<registry_follower> follower_;
    std::optional<configuration_proof> proof_;
    std::unique_ptr<registry_source> source_;
    std::map<std::string, registry_item> followed_;
    registry_revision follower_revision_ = 0;
    registry_revision configuration_revision_ = 0;
    int configuration_value_ = 0;
};

std::size_t model_link::index_of(const core::host_id& host) const {
    const auto found = std::find_if(hosts_.begin(), hosts_.end(),
                                    [&host](const model_host* each) { return each->id() == host; });
    return static_cast<std::size_t>(found - hosts_.begin());
}

void model_link::deliver(std::size_t from, std::size_t to,
                         std::function<void(model_host&)> arrival) {
    // A channel keeps the order of its messages.
    core::time_point& arrives = last_arrivals_[{from, to}];
    const milliseconds latency{store_.draw(1, static_cast<int>(latency_max.count()))};
    arrives = std::max(arrives, tasks_.now() + latency);
    tasks_.after(arrives - tasks_.now(),
                 [this, from, to, sent_in = epoch(from, to), arrival = std::move(arrival)] {
                     hosts_[to]->run([this, from, to, sent_in, arrival] {
                         if (sent_in == epoch(from, to)) {
                             arrival(*hosts_[to]);
                         }
                     });
                 });
}

void model_link::cut(std::size_t host) {
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
        if (other == host) {
            continue;
        }
        ++epoch(host, other);
        for (const std::pair<std::size_t, std::size_t>& ends :
             {std::pair{host, other}, std::pair{other, host}}) {
            const std::size_t one = ends.first;
            const std::size_t lost = ends.second;
            tasks_.after(1ms, [this, one, lost] {
                hosts_[one]->run([this, one, lost] {
                    hosts_[one]->source().on_relay_lost(hosts_[lost]->id());
                    hosts_[one]->source().on_requester_lost(lost);
                });
            });
        }
    }
}

struct run_result {
    bool settled = false;
    core::duration settled_after{0};
    std::string violation;
    int registry_calls_of_askers = 0;
    int relayed_calls = 0;
};

/// @brief Disturbs relays, and now and then the registry.
void disturb(model_store& store, std::vector<std::unique_ptr<model_host>>& hosts, model_link& link,
             schedule& tasks) {
    model_host& victim =
        *hosts[static_cast<std::size_t>(store.draw(0, static_cast<int>(hosts.size()) - 1))];
    const milliseconds duration{store.draw(100, 4000)};
    switch (store.draw(0, 6)) {
    case 0:
        victim.kill(duration);
        break;
    case 1:
        victim.freeze(duration, true);
        break;
    case 2:
        victim.freeze(duration, false);
        break;
    case 3:
        victim.cut_off = true;
        break;
    case 4:
        link.latency_max = milliseconds{store.draw(5, 1500)};
        break;
    case 5:
        link.cut(static_cast<std::size_t>(store.draw(0, static_cast<int>(hosts.size()) - 1)));
        break;
    default:
        if (!store.away) {
            store.away = true;
            tasks.after(milliseconds{store.draw(50, 1500)}, [&store] {
                store.away = false;
                store.restore(milliseconds{store.draw(0, 10000)});
            });
        }
        break;
    }
}

void write_something(model_store& store, int& written) {
    if (store.draw(0, 1) == 0) {
        store.write(configuration_key, std::to_string(++written));
    } else if (store.draw(0, 2) == 0) {
        store.remove("p/" + std::to_string(store.draw(0, 6)));
    } else {
        store.write("p/" + std::to_string(store.draw(0, 6)), std::to_string(written));
    }
}

/// @return True if all hosts hold what the registry holds.
bool all_agree(const std::vector<std::unique_ptr<model_host>>& hosts, const model_store& store) {
    std::map<std::string, std::string> stored;
    for (const auto& [key, item] : store.items()) {
        stored[key] = item.value;
    }
    return std::all_of(hosts.begin(), hosts.end(),
                       [&stored](const auto& host) { return host->view() == stored; });
}

void collect(const std::vector<std::unique_ptr<model_host>>& hosts, run_result& result) {
    for (const std::unique_ptr<model_host>& host : hosts) {
        if (!host->violation.empty()) {
            result.violation = host->id().value + ": " + host->violation;
        }
        result.relayed_calls += host->relayed_calls;
        if (!host->is_relay()) {
            result.registry_calls_of_askers += host->late_registry_calls;
        }
    }
}

run_result play(std::uint64_t seed, bool disturbed) {
    schedule tasks;
    model_store store{tasks, seed};
    store.stale_by = milliseconds{store.draw(0, 900)};
    // The configuration, which proofs list, is a single item in a deployment.
    store.page_size = 10;
    model_link link{tasks, store};
    std::vector<link_peer> peers;
    for (const char* name : {"h-1", "h-2", "h-3", "h-4"}) {
        peers.push_back({core::host_id{name}, core::domain_id{"a"}, "", 1, "127.0.0.1:1"});
    }
    int written = 0;
    store.write(configuration_key, std::to_string(++written));
    std::vector<std::unique_ptr<model_host>> hosts;
    for (std::size_t index = 0; index < peers.size(); ++index) {
        hosts.push_back(std::make_unique<model_host>(tasks, store, link, index, peers));
        link.add(*hosts.back());
    }
    for (const std::unique_ptr<model_host>& host : hosts) {
        host->begin();
    }
    const core::time_point start = tasks.now();
    const core::time_point disturbed_until = start + milliseconds{store.draw(4000, 14000)};
    const core::time_point changes_until = disturbed_until + milliseconds{store.draw(-3000, 6000)};
    core::time_point next_fault = start + milliseconds{store.draw(100, 3000)};
    core::time_point next_change = start;
    core::time_point last_change = start;
    const int changes_apart = store.draw(200, 3000);
    bool calm = !disturbed;
    std::optional<core::time_point> agrees_since;
    run_result result;
    for (core::time_point now = start; now < disturbed_until + 25s; now += 50ms) {
        tasks.run_until(now);
        // Frozen and killed hosts return within 4 s, which are a part of the disruption.
        if (!calm && now >= disturbed_until + 4s && !store.away) {
            calm = true;
            link.latency_max = 5ms;
            for (const std::unique_ptr<model_host>& host : hosts) {
                host->cut_off = false;
            }
        }
        if (disturbed && now < disturbed_until && now >= next_fault) {
            disturb(store, hosts, link, tasks);
            next_fault = now + milliseconds{store.draw(100, 3000)};
        }
        if (!store.away && now < changes_until && now >= next_change) {
            write_something(store, written);
            last_change = now;
            next_change = now + milliseconds{store.draw(100, changes_apart)};
        }
        const bool agrees = all_agree(hosts, store);
        if (!agrees) {
            agrees_since.reset();
        } else if (!agrees_since.has_value()) {
            agrees_since = now;
        }
        if (!calm) {
            last_change = now;
        }
    }
    collect(hosts, result);
    result.settled = agrees_since.has_value();
    if (result.settled) {
        result.settled_after = std::max(core::duration{0}, *agrees_since - last_change);
    }
    return result;
}

} // namespace

// Guards against a host that keeps an old state, takes a state back or trusts a proof that is older
// than it says when its relays die, freeze, lag, are cut off from the registry or from the link, or
// when the registry comes back from a copy. The bound is that of a configuration.
BOOST_AUTO_TEST_CASE(hosts_hold_what_the_registry_holds_when_relays_fail) {
    core::duration longest{0};
    std::uint64_t longest_seed = 0;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        const run_result result = play(seed, true);
        BOOST_TEST(result.violation.empty(), "seed " << seed << ": " << result.violation);
        BOOST_TEST((result.settled && result.settled_after <= 5000ms),
                   "seed " << seed << (result.settled ? ": settled late" : ": did not settle"));
        if (result.settled_after > longest) {
            longest = result.settled_after;
            longest_seed = seed;
        }
    }
    BOOST_TEST_MESSAGE("longest " << std::chrono::duration_cast<milliseconds>(longest).count()
                                  << " ms, seed " << longest_seed);
}

// Guards against hosts that call the registry themselves though their relays serve: their first
// calls are made before a relay has given a proof.
BOOST_AUTO_TEST_CASE(only_relays_call_the_registry_on_a_quiet_day) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const run_result result = play(seed, false);
        BOOST_TEST(result.violation.empty(), "seed " << seed << ": " << result.violation);
        BOOST_TEST_REQUIRE(result.settled);
        BOOST_TEST(result.relayed_calls > 0);
        BOOST_TEST(result.registry_calls_of_askers == 0, "seed " << seed);
    }
}

} // namespace lovagemoor::proxy
