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

/// @brief Result of db_group_status; db_group_raise and db_group_attest return its first three
/// fields.
struct member_status {
    term_number promised_term = 0;
    term_number last_term = 0;
    log_position position = 0;
    bool is_primary = false;
    std::chrono::milliseconds age{0};
    std::chrono::milliseconds primary_silence{0};
};

/// @brief Terms, fencing and replication of one member of a database group; it uses no sockets.
class group_member {
public:
    using send_function = std::function<void(const std::string& to, const v1::ReplicationMessage&)>;

    /// @param begins_as_primary True if the member opens term 1 when it is constructed.
    /// @param send Sends a message to another member; delivery is not guaranteed.
    /// @param on_change Callback that runs after the log or the promised term has changed.
    group_member(std::string id, bool begins_as_primary, time_point now, send_function send,
                 std::function<void()> on_change);

    /// @param members Identifiers of the group's members; the identifier of this member is ignored.
    void set_members(const std::vector<std::string>& members);

    /// @brief Delays the application of received log entries by `lag`.
    void set_lag(std::chrono::milliseconds lag) { lag_ = lag; }

    [[nodiscard]] const replicated_log& log() const noexcept { return log_; }

    [[nodiscard]] bool is_primary() const noexcept;
    [[nodiscard]] member_status status(time_point now) const;

    /// @brief Promises to refuse terms below `term`.
    /// @throw sql_error DG001 when a higher term was promised.
    void fence(term_number term);

    /// @brief Makes this member the primary of a term and opens the term with a log entry; a
    /// repeated call returns the same position.
    /// @return Position of the opening entry.
    /// @throw sql_error DG001 when a higher term was promised or another member opened the term.
    log_position promote(term_number term, time_point now);

    /// @brief Checks that the log contains a position and that its data is recent enough.
    /// @param max_age Highest permitted age; a negative value sets no limit.
    /// @throw sql_error DG002 when the log ends before the position, DG003 when the log has
    /// diverged from it, DG004 when the data is too old.
    void check_position(term_number term, log_position position, std::chrono::milliseconds max_age,
                        time_point now) const;

    /// @return True when an attest call can return at once: the log contains the position, or a
    /// higher term means that it never will.
    [[nodiscard]] bool attest_result_is_known(term_number term, log_position position) const;

    /// @brief Appends a write transaction to the log.
    /// @throw sql_error 25006 unless this member is the primary of the promised term.
    void commit(const std::vector<v1::Change>& changes);

    void receive(const v1::ReplicationMessage& message, time_point now);

    /// @brief Sends the messages and applies the received log entries that are due.
    /// @return Time of the next call.
    time_point tick(time_point now);

private:
    /// @brief Fetch of a replica that has the whole log; it waits for new entries or its deadline.
    struct pending_fetch {
        v1::FetchRequest request;
        time_point deadline;
    };

    /// @brief Fetch that this replica has sent and that is not answered yet.
    struct sent_fetch {
        std::uint64_t sequence = 0;
        time_point requested_at;
    };

    /// @brief Received log entries that are applied once the configured lag has elapsed.
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
    std::function<void()> on_change_;
    replicated_log log_;
    std::chrono::milliseconds lag_{0};

    term_number promised_term_ = 0;
    /// Latest term whose primary is known, and the identifier of that primary.
    term_number primary_term_ = 0;
    std::string primary_id_;
    time_point primary_contact_at_;

    time_point next_announcement_;
    std::map<std::string, pending_fetch> pending_fetches_;

    std::uint64_t next_sequence_ = 1;
    std::optional<sent_fetch> sent_fetch_;
    std::deque<received_batch> received_batches_;
    log_position received_position_ = 0;
    term_number received_term_ = 0;
    /// Time at which this member requested the log entries that last brought it up to date; unset
    /// if unknown.
    std::optional<time_point> current_as_of_;
};

} // namespace lovagemoor::standin_target
