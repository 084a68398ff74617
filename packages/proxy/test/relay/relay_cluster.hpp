#pragma once

#include "../registry/registry_model.hpp"

#include <lovagemoor/core/overloaded.hpp>
#include <lovagemoor/proxy/registry/configuration_proof.hpp>
#include <lovagemoor/proxy/registry/registry_era_tracker.hpp>
#include <lovagemoor/proxy/registry/registry_follower.hpp>
#include <lovagemoor/proxy/registry/revision_window.hpp>
#include <lovagemoor/proxy/relay/registry_source.hpp>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// @file
/// @brief Hosts that follow the registry through relays, against the model of the registry and a
/// model of the link.

namespace lovagemoor::proxy::model {

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
    /// @param large_document_bytes Size from which the configuration counts as large.
    model_host(schedule& tasks, model_store& store, model_link& link, std::size_t index,
               std::vector<link_peer> peers, std::size_t large_document_bytes)
        : tasks_{tasks},
          store_{store},
          link_{link},
          index_{index},
          peers_{std::move(peers)},
          large_document_bytes_{large_document_bytes} {
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

    [[nodiscard]] const std::string& region() const { return peers_[index_].region; }

    /// @return The last applied configuration; 0 for none.
    [[nodiscard]] int configuration() const { return configuration_value_; }

    [[nodiscard]] bool dead() const { return dead_; }

    [[nodiscard]] bool running() const { return !dead_ && !frozen_; }

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
    /// The configuration is the only item, as below its prefix in a deployment.
    bool single_document = false;

    [[nodiscard]] registry_source& source() { return *source_; }

    /// Calls to the registry after settling_time, proofs included.
    int late_registry_calls = 0;
    int relayed_calls = 0;
    /// Answers of the registry itself that contained the configuration.
    int document_reads = 0;
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
        settings.large_document_bytes = large_document_bytes_;
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
            return call<item_changes>([&](const auto& finish) { store_.watch(made, finish); },
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
        result.on_item_read = [this](const registry_item& item, registry_source::purpose,
                                     bool relayed) {
            document_reads += !relayed && item.key == configuration_key ? 1 : 0;
        };
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
    /// @return Abandons the call unless it has its answer; returns true if it did.
    template <typename Result, typename Call, typename Done>
    std::function<bool()> call(const Call& make_call, milliseconds timeout, const Done& done) {
        const auto answered = std::make_shared<bool>(false);
        const auto finish = [this, done, life = life_, answered](const Result& result,
                                                                 bool from_store) {
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
        return [answered] { return !std::exchange(*answered, true); };
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
        if (single_document) {
            return; // Proofs take the place of checks, as for a large document.
        }
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
            if (single_document) {
                proof_->on_read(change.item.revision);
            }
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
    std::size_t large_document_bytes_;
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

inline std::size_t model_link::index_of(const core::host_id& host) const {
    const auto found = std::find_if(hosts_.begin(), hosts_.end(),
                                    [&host](const model_host* each) { return each->id() == host; });
    return static_cast<std::size_t>(found - hosts_.begin());
}

inline void model_link::deliver(std::size_t from, std::size_t to,
                                std::function<void(model_host&)> arrival) {
    // A channel keeps the order of its messages.
    core::time_point& arrives = last_arrivals_[{from, to}];
    const milliseconds latency{store_.draw(1, static_cast<int>(latency_max.count()))};
    arrives = std::max(arrives, tasks_.now() + latency);
    tasks_.after(arrives - tasks_.now(),
                 [this, from, to, sent_in = epoch(from, to), arrival = std::move(arrival)] {
                     if (hosts_[to]->dead()) {
                         // The connection is refused.
                         hosts_[from]->run([this, from, to] {
                             hosts_[from]->source().on_relay_lost(hosts_[to]->id());
                         });
                         return;
                     }
                     hosts_[to]->run([this, from, to, sent_in, arrival] {
                         if (sent_in == epoch(from, to)) {
                             arrival(*hosts_[to]);
                         }
                     });
                 });
}

inline void model_link::cut(std::size_t host) {
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

} // namespace lovagemoor::proxy::model
