#pragma once

#include <lovagemoor/core/overloaded.hpp>
#include <lovagemoor/proxy/engine/session_engine.hpp>
#include <lovagemoor/proxy/lending/connection_lender.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagemoor::proxy::testing {

using namespace std::chrono_literals;

/// @brief Stand-in for a cluster of targets with terms, logs and replicas, in simulated time.
///
/// Drives one session engine and checks what the targets run: reads see every required commit,
/// writes take effect once, statements run in the transaction and with the values of their own
/// session, and no commit of a replaced primary is acknowledged. Violations of these rules are
/// listed in violations().
class fake_cluster {
public:
    struct commit {
        replication_position position;
        std::string statement_id;
    };

    struct target {
        target_record record;
        core::term_number term = 1;
        std::vector<commit> log;
        /// Replication delay.
        core::duration lag{5ms};
        bool reachable = true;
        bool crashed = false;
        /// Time until a new connection is ready, in addition to the network delay.
        core::duration connect_time{0};
        /// The target refuses connections because of its connection limit.
        bool full = false;
        /// Holders cannot reach the target.
        bool refuses_holders = false;
        /// The target refuses statements because all slots are in use.
        bool busy = false;
        /// Number of further statements that run but whose answers are lost.
        unsigned lost_answers = 0;
        /// Number of further answers to the beginning of a transaction that are lost.
        unsigned lost_begin_answers = 0;
        /// Answers to this kind of command are lost.
        std::optional<command_kind> lost_kind;
    };

    /// @brief Another host that lends connections to the engine's host.
    struct holder {
        connection_lender lender;
        /// Keeps the ids of its connections apart from those of other holders.
        core::connection_id id_offset = 0;
        bool dead = false;
        bool frozen = false;
        /// Time that it takes for each message, in addition to the network delay.
        core::duration slowness{0};
        /// Messages that arrived while it was frozen.
        std::vector<lending_event> inbox;
        std::uint64_t channel = 1;
        core::time_point last_delivery;
        core::time_point last_answer;
    };

    struct received_answer {
        core::time_point at;
        statement_result result;
    };

    explicit fake_cluster(std::uint32_t seed = 1,
                          session_engine_settings settings = default_settings())
        : engine_{std::move(settings)}, random_{seed} {}

    static session_engine_settings default_settings() {
        session_engine_settings settings;
        settings.host = core::host_id{"host-1"};
        settings.domain = core::domain_id{"a"};
        return settings;
    }

    /// @brief One service "s" with targets t0 (primary, domain a), t1 (b) and t2 (c), and routes
    /// "latest", "bounded" (1 s) and "own" (2 s).
    void start_reference(int host_count = 3) {
        for (int index = 1; index <= host_count; ++index) {
            hosts.push_back({core::host_id{"host-" + std::to_string(index)},
                             core::domain_id{index == 1 ? "a" : "b"}});
        }
        apply(hosts_listed{hosts});
        configure(1);
        const char* const domains[] = {"a", "b", "c"};
        for (int index = 0; index < 3; ++index) {
            target added;
            added.record = {core::target_id{"t" + std::to_string(index)},
                            core::service_id{"s"},
                            "10.0.0." + std::to_string(index) + ":1",
                            core::domain_id{domains[index]},
                            5,
                            false,
                            index == 0,
                            1};
            targets[added.record.id] = added;
        }
        list_targets();
    }

    /// @param own_service Service of the route "own".
    void configure(std::int64_t version, const std::string& own_service = "s") {
        configuration config;
        config.version = version;
        const auto add = [&](const char* database, read_consistency reads,
                             std::chrono::milliseconds staleness,
                             const std::string& service = "s") {
            route added{
                database, core::service_id{service}, reads, staleness, statement_timeout, 200ms, 1};
            config.routes[database] = std::make_shared<const route>(added);
        };
        add("latest", read_consistency::latest, 0ms);
        add("bounded", read_consistency::bounded_staleness, 1000ms);
        add("own", read_consistency::read_your_writes, 2000ms, own_service);
        config.services[core::service_id{"s"}] = {30, synchronous_replicas};
        if (own_service != "s") {
            config.services[core::service_id{own_service}] = {30, 0};
        }
        for (const std::string& name : organisations) {
            config.organisations[core::organisation_id{name}] = {core::organisation_id{name}, 0, 0};
            config.keys[std::string{key_prefix} + name] = core::organisation_id{name};
        }
        apply(configuration_changed{config});
    }

    void list_targets() {
        targets_listed listed;
        for (const auto& [id, known] : targets) {
            if (!unlisted.contains(id)) {
                listed.targets.push_back(known.record);
            }
        }
        apply(listed);
    }

    /// @brief The registry comes back from an older copy, and the host lists its targets.
    void restore_registry(const std::vector<target_record>& copy) {
        ++era_;
        apply(registry_restored{era_ - 1, era_});
        apply(targets_listed{copy});
    }

    /// @brief State of the registry at some time.
    struct registry_copy {
        std::vector<target_record> entries;
        std::size_t demotions = 0;
    };

    [[nodiscard]] registry_copy copy_registry() const { return {entries(), demotions_.size()}; }

    /// @brief The registry comes back from a copy. The host learns of it once it reaches the
    /// registry. Targets and other hosts write again what the copy lacks.
    /// @param rewriting Time after which the targets have written their entries.
    void return_from(const registry_copy& copy, core::duration rewriting) {
        const auto first_lost =
            demotions_.begin() +
            static_cast<std::ptrdiff_t>(std::min(copy.demotions, demotions_.size()));
        const std::vector<primary_demotion> lost(first_lost, demotions_.end());
        demotions_.erase(first_lost, demotions_.end());
        returned_copy_ = copy.entries;
        hear_registry();
        after(rewriting, [this] {
            if (registry_available) {
                hear_registry();
                for (const target_record& record : entries()) {
                    apply(target_changed{record});
                }
            }
        });
        // Hosts that know a lost demotion learn of the return and write it again.
        after(1s, [this, lost] {
            for (const primary_demotion& demotion : lost) {
                demotions_.push_back(demotion);
                if (registry_available) {
                    hear_registry();
                    apply(demotion_announced{demotion});
                }
            }
        });
    }

    /// @return The entries of all targets as they are now.
    [[nodiscard]] std::vector<target_record> entries() const {
        std::vector<target_record> records;
        for (const auto& [id, known] : targets) {
            records.push_back(known.record);
        }
        return records;
    }

    /// Start of the keys that configure() gives to organisations. The name of the organisation
    /// follows.
    static constexpr std::string_view key_prefix = "key of ";

    /// @param key Key of the caller; empty for none.
    session_id open(const std::string& database, const std::string& key = {}) {
        const session_id id = ++last_session_;
        session_databases_[id] = database;
        if (key.empty() || key.starts_with(key_prefix)) {
            session_organisations_[id] =
                key.empty() ? std::string{} : key.substr(key_prefix.size());
        }
        apply(session_opened{id, database, key});
        return id;
    }

    /// @brief Two holders in each of the failure domains a, b and c start to lend connections.
    void start_holders() {
        link_peers_listed listed;
        for (const char* const name : {"a1", "a2", "b1", "b2", "c1", "c2"}) {
            const core::host_id id{name};
            holder& added = holders[id];
            added.id_offset = core::connection_id{holders.size()} << 32U;
            listed.peers.push_back({id, core::domain_id{std::string(1, *name)}, "", 1.0,
                                    "10.0.1." + std::to_string(holders.size()) + ":1"});
            tick(id);
        }
        link_peers = listed.peers;
        apply(listed);
    }

    /// @brief A holder's process ends, and with it its connections.
    void kill_holder(const core::host_id& id) {
        holder& killed = holders.at(id);
        killed.dead = true;
        std::erase_if(connections_, [&](const auto& entry) {
            return (entry.first & connection_lender::id_flag) != 0 && holder_of(entry.first) == id;
        });
        after(delay(), [this, id] { lose_channel(id); });
    }

    /// @brief A holder does nothing until thaw_holder(). Its borrower closes the channel after the
    /// time for which the link accepts silence.
    void freeze_holder(const core::host_id& id) {
        holder& frozen = holders.at(id);
        frozen.frozen = true;
        after(1s, [this, id, channel = frozen.channel] {
            holder& silent = holders.at(id);
            if (silent.frozen && silent.channel == channel) {
                lose_channel(id);
            }
        });
    }

    void thaw_holder(const core::host_id& id) {
        holder& thawed = holders.at(id);
        thawed.frozen = false;
        for (const lending_event& missed : std::exchange(thawed.inbox, {})) {
            handle_at(id, missed);
        }
    }

    /// @brief Passes an event to a holder after the network delay.
    void tell_holder(const core::host_id& id, const lending_event& input) {
        holder& told = holders.at(id);
        told.last_delivery = std::max(told.last_delivery, now_ + delay() + told.slowness);
        scheduled_.push(
            {told.last_delivery, ++order_, [this, id, input] { handle_at(id, input); }});
    }

    /// @brief Sends a statement of a session.
    /// @return Id of the statement.
    std::string send(session_id id, statement_kind kind, const std::string& name = {},
                     const std::string& argument = {}, bool read_only = false) {
        statement sent;
        sent.id = "q" + std::to_string(++last_statement_);
        sent.kind = kind;
        sent.read_only = read_only;
        sent.name = name;
        sent.argument = argument;
        sent.text = text_of(kind) + " " + name;
        statements_[sent.id] = {id, now_, kind, open_transactions_.contains(id),
                                session_values_[id]};
        if (kind == statement_kind::begin) {
            transaction_began_[id] = now_;
        }
        pending_[id].push_back(sent.id);
        apply(statement_received{id, sent});
        return sent.id;
    }

    /// @return True if all statements of the session have been answered.
    [[nodiscard]] bool is_idle(session_id id) const {
        const auto found = pending_.find(id);
        return found == pending_.end() || found->second.empty();
    }

    /// @return True if this host has closed the session.
    [[nodiscard]] bool is_closed(session_id id) const { return closed_.contains(id); }

    [[nodiscard]] const std::string& database_of(session_id id) const {
        return session_databases_.at(id);
    }

    /// @return Number of statements of the session without an answer.
    [[nodiscard]] std::size_t outstanding(session_id id) const {
        const auto found = pending_.find(id);
        return found == pending_.end() ? 0 : found->second.size();
    }

    /// @return Number of statements of all sessions without an answer.
    [[nodiscard]] std::size_t unanswered() const {
        std::size_t count = 0;
        for (const auto& [session, statements] : pending_) {
            count += statements.size();
        }
        return count;
    }

    /// @return True if the session is in a transaction, failed or not.
    [[nodiscard]] bool in_transaction(session_id id) const {
        return open_transactions_.contains(id);
    }

    void close(session_id id) { apply(session_closed{id}); }

    /// @brief Runs a function at a later time.
    void after(core::duration delay, std::function<void()> run) {
        scheduled_.push({now_ + delay, ++order_, std::move(run)});
    }

    void run_for(core::duration time) {
        const core::time_point end = now_ + time;
        while (true) {
            const core::time_point wakeup = engine_.next_wakeup();
            if (!scheduled_.empty() && scheduled_.top().at <= std::min(end, wakeup)) {
                const scheduled next = scheduled_.top();
                scheduled_.pop();
                now_ = std::max(now_, next.at);
                next.run();
            } else if (wakeup <= end) {
                now_ = std::max(now_, wakeup);
                apply(timer_expired{});
            } else {
                break;
            }
        }
        now_ = end;
    }

    /// @return The answer to a statement. Empty if there is none yet.
    [[nodiscard]] std::optional<received_answer> answer(const std::string& id) const {
        const auto found = answers_.find(id);
        return found == answers_.end() ? std::nullopt
                                       : std::optional<received_answer>{found->second};
    }

    /// @brief Makes a target the primary of the next term, with its current log.
    /// @param continuing A former primary that has not noticed its replacement and goes on.
    void promote(const core::target_id& id,
                 const std::optional<core::target_id>& continuing = std::nullopt) {
        const core::term_number newest = newest_term();
        leader_ = id;
        target& chosen = targets.at(id);
        for (auto& [other_id, other] : targets) {
            if (other_id == continuing) {
                continue;
            }
            other.record.claims_primary = other_id == id;
            other.term = newest + 1;
            if (other.log.size() > chosen.log.size()) {
                other.log.resize(chosen.log.size());
            }
        }
        for (acknowledged_commit& entry : acknowledged_) {
            entry.rolled_back = entry.rolled_back || entry.index >= chosen.log.size();
        }
        if (!continuing.has_value()) {
            list_targets();
        }
    }

    /// @return The target that was promoted last.
    [[nodiscard]] const core::target_id& leader() const noexcept { return leader_; }

    /// @brief A former primary learns of its replacement and follows the current primary.
    void follow(const core::target_id& id) {
        target& former = targets.at(id);
        const target& leader = targets.at(leader_);
        former.record.claims_primary = id == leader_;
        former.term = leader.term;
        former.log = leader.log;
        list_targets();
    }

    /// @return Highest term of all targets.
    [[nodiscard]] core::term_number newest_term() const {
        core::term_number newest = 0;
        for (const auto& [id, known] : targets) {
            newest = std::max(newest, known.term);
        }
        return newest;
    }

    /// @brief Another host announces a demotion. This host hears of it if it reaches the registry.
    void announce(const core::target_id& id) {
        demotions_.push_back({core::service_id{"s"}, id, newest_term() + 1});
        if (registry_available) {
            hear_registry();
            apply(demotion_announced{demotions_.back()});
        }
    }

    /// @brief A caller of another host writes at the current primary.
    void write_elsewhere() {
        target& leader = targets.at(leader_);
        append(leader, "other-" + std::to_string(++last_statement_));
        acknowledged_.push_back({now_, leader.log.size() - 1, 0, false,
                                 leader.log.back().statement_id, leader.record.service});
    }

    void disconnect(const core::target_id& id) {
        std::vector<core::connection_id> lost;
        for (const auto& [link, state] : connections_) {
            if (state.target == id) {
                lost.push_back(link);
            }
        }
        for (const core::connection_id link : lost) {
            connections_.erase(link);
            apply(target_disconnected{link, target_close_reason::closed});
        }
    }

    void apply(const event& input) {
        if (pass_to_holder(input)) {
            return;
        }
        for (const action& wanted : engine_.handle(now_, input)) {
            perform(wanted);
        }
    }

    [[nodiscard]] core::time_point now() const noexcept { return now_; }

    [[nodiscard]] const std::vector<std::string>& violations() const noexcept {
        return violations_;
    }

    /// @return Targets that ran a statement, in the order of execution.
    [[nodiscard]] std::vector<core::target_id> ran_at(const std::string& id) const {
        const auto found = runs_.find(id);
        return found == runs_.end() ? std::vector<core::target_id>{} : found->second;
    }

    template <typename Action>
    [[nodiscard]] std::vector<Action> performed() const {
        std::vector<Action> found;
        for (const action& done : performed_) {
            if (const Action* const match = std::get_if<Action>(&done)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    /// @return Number of connections that the engine has requested so far.
    [[nodiscard]] std::size_t connects_to(const core::target_id& id) const {
        const std::vector<open_target> opened = performed<open_target>();
        return static_cast<std::size_t>(
            std::count_if(opened.begin(), opened.end(),
                          [&](const open_target& request) { return request.target == id; }));
    }

    [[nodiscard]] std::size_t connections_to(const core::target_id& id) const {
        std::size_t count = 0;
        for (const auto& [link, state] : connections_) {
            count += state.target == id ? 1 : 0;
        }
        return count;
    }

    std::mt19937& random() noexcept { return random_; }

    /// Number of connections that all hosts have requested to open to a target.
    [[nodiscard]] std::size_t opened_by_holders() const noexcept { return opened_by_holders_; }

    std::map<core::host_id, holder> holders;
    std::vector<link_peer> link_peers;
    /// Organisations of the next configuration.
    std::vector<std::string> organisations;
    std::map<core::target_id, target> targets;
    /// Targets whose entries the registry has removed.
    std::set<core::target_id> unlisted;
    unsigned synchronous_replicas = 0;
    /// Time limit of statements on all routes.
    std::chrono::milliseconds statement_timeout{1000};
    std::vector<host_record> hosts;
    /// Called when a caller has received an answer.
    std::function<void(session_id)> answered;
    /// Number of further drains that report unsent output.
    unsigned incomplete_drains = 0;
    /// Called when the host asks for what has arrived at a session. May send statements.
    std::function<void(session_id)> before_drained;
    /// The registry answers this host.
    bool registry_available = true;

private:
    struct scheduled {
        core::time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const scheduled& other) const {
            return std::pair{at, order} > std::pair{other.at, other.order};
        }
    };

    struct target_session {
        core::target_id target;
        core::organisation_id organisation;
        std::map<std::string, std::string> values;
        std::set<std::string> prepared;
        /// Session of the open transaction, 0 if the engine began it. Empty outside of
        /// transactions.
        std::optional<session_id> transaction;
        bool writable = false;
        std::vector<std::string> uncommitted;
    };

    struct sent_statement {
        session_id session = 0;
        core::time_point at;
        statement_kind kind = statement_kind::unknown;
        /// State of the session when the statement was sent.
        bool in_transaction = false;
        std::map<std::string, std::string> values;
    };

    struct acknowledged_commit {
        core::time_point at;
        std::size_t index = 0;
        session_id session = 0;
        bool rolled_back = false;
        std::string statement_id;
        core::service_id service;
    };

    static std::string text_of(statement_kind kind) {
        switch (kind) {
        case statement_kind::read:
            return "READ";
        case statement_kind::write:
            return "WRITE";
        case statement_kind::commit:
            return "COMMIT";
        default:
            return "OTHER";
        }
    }

    core::duration delay() {
        return core::duration{std::uniform_int_distribution<int>{500, 3000}(random_)};
    }

    void perform(const action& wanted) {
        performed_.push_back(wanted);
        std::visit(core::overloaded{
                       [this](const open_target& value) {
                           if (value.holder.has_value()) {
                               borrow(value);
                           } else {
                               open_connection(value);
                           }
                       },
                       [this](const send_commands& value) {
                           if (loans_.contains(value.connection)) {
                               tell_holder(loans_.at(value.connection).holder,
                                           loan_commands_received{loan_of(value.connection),
                                                                  value.commands, 1000ms});
                           } else {
                               deliver(value);
                           }
                       },
                       [this](const close_target& value) {
                           if (loans_.contains(value.connection)) {
                               give_back(value.connection, loans_.at(value.connection).granted);
                           } else {
                               close_connection(value.connection);
                           }
                       },
                       [this](const return_target& value) { give_back(value.connection, false); },
                       [this](const answer_statement& value) { record_answer(value); },
                       [this](const drain_session& value) {
                           after(core::duration{0}, [this, id = value.session] {
                               if (before_drained) {
                                   before_drained(id);
                               }
                               apply(session_drained{id, incomplete_drains == 0});
                               incomplete_drains -= incomplete_drains > 0 ? 1 : 0;
                           });
                       },
                       [this](const close_session& value) { end_session(value.session); },
                       [this](const list_demotions& /*value*/) { answer_demotions(); },
                       [this](const contact_registry& /*value*/) {
                           if (registry_available) {
                               after(delay(), [this, sent = now_] {
                                   hear_registry();
                                   apply(registry_contacted{sent});
                               });
                           }
                       },
                       [this](const publish_demotion& value) {
                           after(delay(), [this, demotion = value.demotion] {
                               apply(demotion_publish_answered{demotion, registry_available});
                           });
                       },
                       [](const auto& /*other*/) {},
                   },
                   wanted);
    }

    /// @brief A connection that the engine borrows.
    struct borrowed_connection {
        core::host_id holder;
        std::uint64_t channel = 0;
        bool granted = false;
    };

    [[nodiscard]] loan_id loan_of(core::connection_id id) const {
        return {loans_.at(id).channel, id};
    }

    void borrow(const open_target& request) {
        const auto found = holders.find(*request.holder);
        if (found == holders.end() || found->second.dead) {
            after(delay(), [this, id = request.connection] {
                apply(target_disconnected{id, target_close_reason::holder_lost});
            });
            return;
        }
        loans_[request.connection] = {found->first, found->second.channel, false};
        tell_holder(found->first,
                    loan_requested{loan_of(request.connection), request.target, request.service,
                                   request.address, request.organisation, request.any_organisation,
                                   request.connection_limit, request.slots, request.wait,
                                   request.priority});
    }

    void give_back(core::connection_id id, bool broken) {
        const auto found = loans_.find(id);
        if (found != loans_.end()) {
            const loan_id returned = loan_of(id);
            const core::host_id holder_name = found->second.holder;
            loans_.erase(found);
            tell_holder(holder_name, loan_returned{returned, broken});
        }
    }

    /// @brief The borrower and, unless it is dead, the holder learn that their channel is lost.
    void lose_channel(const core::host_id& id) {
        holder& lost = holders.at(id);
        const std::uint64_t channel = lost.channel++;
        tell_holder(id, borrower_lost{channel});
        std::vector<core::connection_id> ended;
        for (const auto& [number, known] : loans_) {
            if (known.holder == id && known.channel == channel) {
                ended.push_back(number);
            }
        }
        for (const core::connection_id number : ended) {
            loans_.erase(number);
        }
        for (const core::connection_id number : ended) {
            apply(target_disconnected{number, target_close_reason::holder_lost});
        }
    }

    void tick(const core::host_id& id) {
        after(25ms, [this, id] {
            handle_at(id, timer_expired{});
            tick(id);
        });
    }

    [[nodiscard]] core::host_id holder_of(core::connection_id id) const {
        for (const auto& [name, known] : holders) {
            if (known.id_offset == (id & ~connection_lender::id_flag) >> 32U << 32U) {
                return name;
            }
        }
        return {};
    }

    /// @return True if the event concerns a connection of a holder.
    bool pass_to_holder(const event& input) {
        const auto pass = [this](auto specific) {
            if ((specific.connection & connection_lender::id_flag) == 0) {
                return false;
            }
            const core::host_id id = holder_of(specific.connection);
            specific.connection -= holders.at(id).id_offset;
            handle_at(id, specific);
            return true;
        };
        return std::visit(core::overloaded{
                              [&](const target_connected& value) { return pass(value); },
                              [&](const target_replied& value) { return pass(value); },
                              [&](const target_disconnected& value) { return pass(value); },
                              [](const auto& /*other*/) { return false; },
                          },
                          input);
    }

    void handle_at(const core::host_id& id, const lending_event& input) {
        holder& at = holders.at(id);
        if (at.dead) {
            return;
        }
        if (at.frozen) {
            at.inbox.push_back(input);
            return;
        }
        for (const lending_action& wanted : at.lender.handle(now_, input)) {
            std::visit(core::overloaded{
                           [&](const queue_loan& value) {
                               answer_borrower(id, value.loan, loan_queued{value.loan.number});
                           },
                           [&](const grant_loan& value) {
                               answer_borrower(id, value.loan,
                                               target_connected{value.loan.number, value.position,
                                                                value.clean});
                           },
                           [&](const relay_reply& value) {
                               answer_borrower(id, value.loan,
                                               target_replied{value.loan.number, value.reply});
                           },
                           [&](const end_loan& value) {
                               answer_borrower(
                                   id, value.loan,
                                   target_disconnected{value.loan.number, reason_of(value.reason)});
                           },
                           [&](open_target value) {
                               ++opened_by_holders_;
                               value.connection += at.id_offset;
                               open_connection(value);
                           },
                           [&](send_commands value) {
                               value.connection += at.id_offset;
                               deliver(value);
                           },
                           [&](const close_target& value) {
                               close_connection(value.connection + at.id_offset);
                           },
                           [](const auto& /*telemetry*/) {},
                       },
                       wanted);
        }
    }

    static target_close_reason reason_of(loan_end reason) {
        switch (reason) {
        case loan_end::busy:
            return target_close_reason::holder_busy;
        case loan_end::stopping:
            return target_close_reason::holder_stopping;
        case loan_end::target_refused:
            return target_close_reason::refused;
        case loan_end::target_timed_out:
            return target_close_reason::timed_out;
        case loan_end::connection_limit:
            return target_close_reason::connection_limit;
        case loan_end::wrong_target:
            return target_close_reason::wrong_target;
        case loan_end::malformed:
            return target_close_reason::malformed;
        default:
            return target_close_reason::closed;
        }
    }

    void answer_borrower(const core::host_id& id, const loan_id& loan, const event& answer) {
        holder& at = holders.at(id);
        at.last_answer = std::max(at.last_answer, now_ + delay() + at.slowness);
        scheduled_.push({at.last_answer, ++order_, [this, loan, answer] {
                             const auto found = loans_.find(loan.number);
                             if (found == loans_.end() || found->second.channel != loan.borrower) {
                                 return;
                             }
                             if (std::holds_alternative<target_connected>(answer)) {
                                 found->second.granted = true;
                             }
                             if (std::holds_alternative<target_disconnected>(answer)) {
                                 loans_.erase(found);
                             }
                             apply(answer);
                         }});
    }

    /// @brief Tells the host of a return that it has not heard of, with the lists of the new era.
    void hear_registry() {
        if (!registry_available || !returned_copy_.has_value()) {
            return;
        }
        const std::vector<target_record> copy = *std::exchange(returned_copy_, std::nullopt);
        restore_registry(copy);
        apply(demotions_listed{demotions_});
    }

    void end_session(session_id id) {
        if (!pending_[id].empty()) {
            violations_.push_back("session closed before an answer: " + pending_[id].front());
            pending_[id].clear();
        }
        if (closed_.insert(id).second) {
            after(core::duration{0}, [this, id] { apply(session_closed{id}); });
        }
    }

    void answer_demotions() {
        after(registry_available ? delay() : core::duration{100ms}, [this] {
            if (registry_available) {
                hear_registry();
                apply(demotions_listed{demotions_});
            } else {
                answer_demotions();
            }
        });
    }

    void open_connection(const open_target& request) {
        after(delay(), [this, request] {
            const auto found = targets.find(request.target);
            const bool by_holder = (request.connection & connection_lender::id_flag) != 0;
            if (found == targets.end() || found->second.crashed ||
                (by_holder && found->second.refuses_holders)) {
                apply(target_disconnected{request.connection, target_close_reason::refused});
            } else if (found->second.full) {
                apply(
                    target_disconnected{request.connection, target_close_reason::connection_limit});
            } else if (!found->second.reachable) {
                after(request.connect_timeout, [this, request] {
                    apply(target_disconnected{request.connection, target_close_reason::timed_out});
                });
            } else {
                after(found->second.connect_time, [this, request] { accept_connection(request); });
            }
        });
    }

    void accept_connection(const open_target& request) {
        target_session& opened = connections_[request.connection];
        opened.target = request.target;
        opened.organisation = request.organisation;
        apply(target_connected{request.connection, position_of(targets.at(request.target))});
    }

    void close_connection(core::connection_id id) {
        // The close reaches the target with the same delay as any other message.
        after(delay(), [this, id] { connections_.erase(id); });
    }

    void deliver(const send_commands& sent) {
        // Messages are delivered in order in both directions.
        core::time_point& last = last_delivery_[sent.connection];
        last = std::max(last, now_ + delay());
        for (const target_command& command : sent.commands) {
            scheduled_.push(
                {last, ++order_, [this, id = sent.connection, command] { run(id, command); }});
        }
    }

    void run(core::connection_id id, const target_command& command) {
        const auto found = connections_.find(id);
        if (found == connections_.end() || !targets.contains(found->second.target)) {
            return;
        }
        target& at = targets.at(found->second.target);
        if (!at.reachable || at.crashed) {
            return;
        }
        target_reply reply;
        execute(at, found->second, command, reply);
        reply.result.position = position_of(at);
        reply.result.state = found->second.transaction.has_value() ? session_state::in_transaction
                                                                   : session_state::idle;
        if (!command.id.empty() && at.lost_answers > 0) {
            --at.lost_answers;
            return;
        }
        if (command.kind == command_kind::begin && at.lost_begin_answers > 0) {
            --at.lost_begin_answers;
            return;
        }
        if (command.id.empty() && command.kind == at.lost_kind) {
            return;
        }
        core::time_point& last = last_reply_[id];
        last = std::max(last, now_ + delay());
        scheduled_.push({last, ++order_, [this, id, reply] {
                             if (connections_.contains(id)) {
                                 apply(target_replied{id, reply});
                             }
                         }});
    }

    static void refuse(target_reply& reply, statement_error_kind kind) {
        reply.result.error = statement_error{kind, "refused by the target", std::nullopt};
    }

    void execute(target& at, target_session& connection, const target_command& command,
                 target_reply& reply) {
        if (command.required_position.has_value() && position_of(at) < *command.required_position) {
            refuse(reply, statement_error_kind::lagging);
            return;
        }
        switch (command.kind) {
        case command_kind::begin:
            if (!at.record.claims_primary) {
                refuse(reply, statement_error_kind::read_only);
                return;
            }
            connection.transaction = 0;
            connection.writable = true;
            break;
        case command_kind::begin_read_only:
            connection.transaction = 0;
            connection.writable = false;
            break;
        case command_kind::rollback:
            connection.transaction.reset();
            connection.writable = false;
            connection.uncommitted.clear();
            break;
        case command_kind::set_value:
            connection.values[command.name] = command.argument;
            break;
        case command_kind::reset:
            connection.values.clear();
            connection.prepared.clear();
            break;
        case command_kind::prepare_read:
        case command_kind::prepare_write:
            connection.prepared.insert(command.name);
            break;
        case command_kind::deallocate:
            connection.prepared.erase(command.name);
            break;
        case command_kind::status:
        case command_kind::hold_replication:
        case command_kind::resume_replication:
            reply.status = status_of(at);
            break;
        case command_kind::step_down:
            if (at.term < command.term) {
                at.record.claims_primary = false;
            }
            reply.status = status_of(at);
            break;
        case command_kind::forward:
        case command_kind::execute:
            execute_statement(at, connection, command, reply);
            break;
        }
    }

    void execute_statement(target& at, target_session& connection, const target_command& command,
                           target_reply& reply) {
        const sent_statement& sent = statements_.at(command.id);
        if (at.busy) {
            refuse(reply, statement_error_kind::busy);
            return;
        }
        check_pinned(connection, command, sent);
        const bool commits = sent.kind == statement_kind::commit;
        const bool writes = sent.kind == statement_kind::write;
        if ((writes || (commits && !connection.uncommitted.empty()) || connection.writable) &&
            !at.record.claims_primary) {
            connection.transaction.reset();
            connection.uncommitted.clear();
            connection.writable = false;
            refuse(reply, statement_error_kind::read_only);
            return;
        }
        runs_[command.id].push_back(at.record.id);
        reply.result.signature = "signed " + command.id;
        if (commits) {
            for (const std::string& write : connection.uncommitted) {
                append(at, write);
            }
            connection.transaction.reset();
            connection.uncommitted.clear();
            connection.writable = false;
        } else if (writes && connection.transaction.has_value()) {
            connection.uncommitted.push_back(command.id);
        } else if (writes) {
            append(at, command.id);
        } else {
            check_fresh(at, sent, command.id);
        }
    }

    void append(target& at, const std::string& statement_id) {
        for (const commit& entry : at.log) {
            if (entry.statement_id == statement_id) {
                violations_.push_back("write took effect twice: " + statement_id);
            }
        }
        const auto refused = answers_.find(statement_id);
        if (refused != answers_.end() && refused->second.result.error.has_value() &&
            proves_not_run(refused->second.result.error->kind)) {
            violations_.push_back("committed after a refusal: " + statement_id);
        }
        const commit added{{at.term, at.log.size() + 1}, statement_id};
        at.log.push_back(added);
        for (auto& [id, replica] : targets) {
            if (id == at.record.id) {
                continue;
            }
            after(replica.lag, [this, to = id, from = at.record.id] { replicate(from, to); });
        }
    }

    void replicate(const core::target_id& from, const core::target_id& to) {
        target& source = targets.at(from);
        target& replica = targets.at(to);
        const bool connected =
            source.reachable && replica.reachable && !source.crashed && !replica.crashed;
        if (!source.record.claims_primary || replica.record.claims_primary ||
            source.term < replica.term || !connected) {
            return;
        }
        // A former primary drops what the current one does not have.
        std::size_t common = 0;
        while (common < replica.log.size() && common < source.log.size() &&
               replica.log[common].statement_id == source.log[common].statement_id) {
            ++common;
        }
        replica.term = source.term;
        replica.log.resize(common);
        if (common < source.log.size()) {
            replica.log.push_back(source.log[common]);
        }
    }

    void check_pinned(const target_session& connection, const target_command& command,
                      const sent_statement& sent) {
        if (sent.in_transaction != connection.transaction.has_value()) {
            violations_.push_back("statement outside of its transaction: " + command.id);
        }
        const auto organisation = session_organisations_.find(sent.session);
        if (organisation != session_organisations_.end() &&
            connection.organisation.value != organisation->second) {
            violations_.push_back("statement on a connection of another organisation: " +
                                  command.id);
        }
        if (connection.values != sent.values) {
            violations_.push_back("statement with other session values: " + command.id);
        }
        if (command.kind == command_kind::execute && !connection.prepared.contains(command.name)) {
            violations_.push_back("prepared statement unknown: " + command.id);
        }
    }

    void check_fresh(const target& at, const sent_statement& sent, const std::string& id) {
        const std::string& database = session_databases_.at(sent.session);
        const core::time_point began =
            sent.in_transaction ? transaction_began_.at(sent.session) : sent.at;
        const core::duration staleness = database == "latest"    ? core::duration{0}
                                         : database == "bounded" ? core::duration{1s}
                                                                 : core::duration{2s};
        for (const acknowledged_commit& entry : acknowledged_) {
            if (entry.service != at.record.service) {
                continue;
            }
            if (entry.rolled_back || (entry.index < at.log.size() &&
                                      at.log[entry.index].statement_id == entry.statement_id)) {
                continue;
            }
            if (entry.at < began - staleness) {
                violations_.push_back("stale read: " + id);
                return;
            }
            if (database == "own" && entry.session == sent.session) {
                violations_.push_back("own write not seen: " + id);
                return;
            }
        }
    }

    void record_answer(const answer_statement& given) {
        std::vector<std::string>& waiting = pending_[given.session];
        if (waiting.empty()) {
            return;
        }
        const std::string id = waiting.front();
        waiting.erase(waiting.begin());
        answers_[id] = {now_, given.result};
        if (answered) {
            after(delay(), [this, session = given.session] { answered(session); });
        }
        const sent_statement& sent = statements_.at(id);
        const bool failed = given.result.error.has_value();
        if (!failed && !given.result.signature.empty() &&
            given.result.signature != "signed " + id) {
            violations_.push_back("answer of another statement: " + id);
        }
        if (sent.kind == statement_kind::begin && !failed) {
            open_transactions_.insert(given.session);
        }
        if (given.result.state == session_state::idle) {
            open_transactions_.erase(given.session);
        }
        if (failed && proves_not_run(given.result.error->kind)) {
            check_not_committed(id);
        }
        if (!failed &&
            (sent.kind == statement_kind::write || sent.kind == statement_kind::commit)) {
            acknowledge(given.session, id);
        }
    }

    void check_not_committed(const std::string& id) {
        for (const auto& [target_id, known] : targets) {
            for (const commit& entry : known.log) {
                if (entry.statement_id == id) {
                    violations_.push_back("refused though it ran: " + id);
                    return;
                }
            }
        }
    }

    void acknowledge(session_id session, const std::string& id) {
        for (const auto& [target_id, known] : targets) {
            for (std::size_t index = 0; known.record.claims_primary && index < known.log.size();
                 ++index) {
                if (known.log[index].statement_id != id) {
                    continue;
                }
                if (target_id == leader_) {
                    acknowledged_.push_back(
                        {now_, index, session, false, id, known.record.service});
                } else {
                    violations_.push_back("commit of a replaced primary acknowledged: " + id);
                }
            }
        }
    }

    [[nodiscard]] static target_status status_of(const target& at) {
        return target_status{at.record.claims_primary, position_of(at), 0, 0ms, at.term};
    }

    [[nodiscard]] static replication_position position_of(const target& at) {
        return at.log.empty() ? replication_position{} : at.log.back().position;
    }

public:
    /// @brief Sets a session value on behalf of the caller.
    void set_value(session_id id, const std::string& name, const std::string& value) {
        send(id, statement_kind::set, name, value);
        session_values_[id][name] = value;
    }

private:
    session_engine engine_;
    std::mt19937 random_;
    core::time_point now_{std::chrono::seconds{1000}};
    std::uint64_t order_ = 0;
    std::priority_queue<scheduled> scheduled_;
    std::map<core::connection_id, target_session> connections_;
    std::map<core::connection_id, core::time_point> last_delivery_;
    std::map<core::connection_id, core::time_point> last_reply_;
    std::map<core::connection_id, borrowed_connection> loans_;
    std::size_t opened_by_holders_ = 0;
    std::map<session_id, std::string> session_organisations_;
    session_id last_session_ = 0;
    std::uint64_t last_statement_ = 0;
    std::map<session_id, std::string> session_databases_;
    std::map<session_id, std::map<std::string, std::string>> session_values_;
    std::map<session_id, core::time_point> transaction_began_;
    std::set<session_id> open_transactions_;
    std::set<session_id> closed_;
    std::map<std::string, sent_statement> statements_;
    std::map<session_id, std::vector<std::string>> pending_;
    std::map<std::string, received_answer> answers_;
    std::map<std::string, std::vector<core::target_id>> runs_;
    std::vector<acknowledged_commit> acknowledged_;
    /// The target that was promoted last.
    core::target_id leader_{"t0"};
    std::vector<primary_demotion> demotions_;
    registry_era era_ = 1;
    /// Entries of a copy that the host has not listed yet.
    std::optional<std::vector<target_record>> returned_copy_;
    std::vector<action> performed_;
    std::vector<std::string> violations_;
};

} // namespace lovagemoor::proxy::testing
