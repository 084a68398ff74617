#pragma once

#include "replicated_log.hpp"
#include "timer_queue.hpp"

#include <standin.pb.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::standin_target {

/// @brief Reply to db_group_status; db_group_raise and db_group_attest return its first fields.
struct member_status {
    term_number promised_term = 0;
    term_number last_term = 0;
    log_position position = 0;
    bool is_primary = false;
    std::chrono::milliseconds age{0};
    std::chrono::milliseconds primary_silence{0};
};

/// @brief One member of a database group: terms, promises and replication, without sockets.
class group_member {
public:
    using send_function = std::function<void(const std::string& to, const v1::ReplicationMessage&)>;

    /// @param begins_as_primary True to open term 1 at once.
    /// @param send Sends a message to a member; delivery is not guaranteed.
    /// @param changed Called after the log or the promised term changed.
    group_member(std::string id, bool begins_as_primary, time_point now, send_function send,
                 std::function<void()> changed);

    /// @param members Identifiers of the group's members; this member's own is ignored.
    void set_members(const std::vector<std::string>& members);

    /// @brief Delays the application of received log by `lag`.
    void set_lag(std::chrono::milliseconds lag) { lag_ = lag; }

    [[nodiscard]] const replicated_log& log() const noexcept { return log_; }

    [[nodiscard]] bool is_primary() const noexcept;
    [[nodiscard]] member_status status(time_point now) const;

    /// @throw sql_error DG001 when a higher term was promised.
    void fence(term_number term);

    /// @brief Opens a term with a log entry; repeating the call returns the same position.
    /// @return Position of the opening entry.
    /// @throw sql_error DG001 when a higher term was promised or another member opened the term.
    log_position promote(term_number term, time_point now);

    /// @param max_age Negative for no limit.
    /// @throw sql_error DG002 behind, DG003 diverged, DG004 too old.
    void check_position(term_number term, log_position position, std::chrono::milliseconds max_age,
                        time_point now) const;

    /// @return True when an attest call need not wait: the position is held, or it cannot be held
    /// any more because of a higher term.
    [[nodiscard]] bool attest_result_is_known(term_number term, log_position position) const;

    /// @brief Appends a write transaction to the log.
    /// @throw sql_error 25006 unless this member is the primary of the promised term.
    void commit(const std::vector<v1::Change>& changes);

    void receive(const v1::ReplicationMessage& message, time_point now);

    /// @brief Sends and applies what is due.
    /// @return When to call it again.
    time_point tick(time_point now);

private:
    struct pending_fetch {
        v1::FetchRequest request;
        time_point deadline;
    };

    struct outstanding_fetch {
        std::uint64_t sequence = 0;
        time_point requested_at;
    };

    struct received_batch {
        v1::FetchReply reply;
        time_point requested_at;
        time_point due;
    };

    void open_term(term_number term, time_point now);
    void announce(time_point now);
    void receive_announcement(const std::string& from, term_number term, time_point now);
    void receive_fetch(const std::string& from, const v1::FetchRequest& request, time_point now);
    void receive_reply(const std::string& from, const v1::FetchReply& reply, time_point now);
    [[nodiscard]] bool answer_fetch(const std::string& to, const v1::FetchRequest& request,
                                    bool even_if_empty) const;
    void answer_expired_fetches(time_point now);
    void apply_received(time_point now);
    void truncate_diverged(const v1::FetchReply& reply);
    void send_fetch(time_point now);
    void send(const std::string& to, v1::ReplicationMessage message) const;
    [[nodiscard]] bool is_following() const noexcept;
    [[nodiscard]] std::chrono::milliseconds age(time_point now) const;

    std::string id_;
    std::vector<std::string> members_;
    send_function send_;
    std::function<void()> changed_;
    replicated_log log_;
    std::chrono::milliseconds lag_{0};

    term_number promised_term_ = 0;
    /// The latest term whose primary is known, and that primary.
    term_number primary_term_ = 0;
    std::string primary_id_;
    time_point primary_contact_at_;

    time_point next_announcement_;
    std::map<std::string, pending_fetch> pending_fetches_;

    std::uint64_t next_sequence_ = 1;
    std::optional<outstanding_fetch> outstanding_;
    std::deque<received_batch> received_;
    log_position received_position_ = 0;
    term_number received_term_ = 0;
    /// When the log was asked for that brought this member up to date; unset when unknown.
    std::optional<time_point> current_as_of_;
};

} // namespace lovagemoor::standin_target
