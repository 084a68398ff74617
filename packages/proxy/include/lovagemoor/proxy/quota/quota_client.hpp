#pragma once

#include <lovagemoor/core/id_source.hpp>
#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/quota/quota_floor.hpp>
#include <lovagemoor/proxy/quota/quota_share.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace lovagemoor::proxy {

/// @brief Asks the owner of a slot for tokens.
struct quota_request {
    std::uint64_t number = 0;
    core::organisation_id organisation;
    quota_slot slot = 0;
    unsigned wanted = 1;
};

/// @brief Answer of the owner of a slot.
struct quota_grant {
    std::uint64_t number = 0;
    unsigned granted = 0;
    /// Time from the sending of the request for which the tokens are valid.
    std::chrono::milliseconds valid_for{0};
    /// Time after which a token can be expected, if none was granted.
    std::chrono::milliseconds retry_after{0};
    /// The host that was asked does not own the slot.
    bool not_owner = false;
};

/// @brief Why no token can be had.
enum class quota_refusal_reason : std::uint8_t {
    /// The organisation has used up its quota.
    exceeded,
    /// No owner of the organisation's slots can be reached.
    unreachable,
    /// No owner answered with a token in time.
    late,
};

/// @return The name used in metrics.
[[nodiscard]] const char* to_string(quota_refusal_reason reason) noexcept;

struct quota_refusal {
    quota_refusal_reason reason = quota_refusal_reason::exceeded;
    std::chrono::milliseconds retry_after{0};
};

/// @brief The tokens of this host, by organisation, and its requests for more.
class quota_client {
public:
    explicit quota_client(quota_settings settings);

    /// @brief Applies the limits of a configuration. Tokens granted under another limit are
    /// dropped.
    void configure(core::time_point now,
                   const std::map<core::organisation_id, organisation>& organisations);

    void set_floor(const quota_floor& floor) noexcept { floor_ = floor; }

    /// @return True if operations of the organisation need a token.
    [[nodiscard]] bool limits(const core::organisation_id& organisation) const;

    /// @return True if take() would succeed.
    [[nodiscard]] bool available(core::time_point now, const core::organisation_id& organisation);

    /// @brief Uses a token, or the host's part of the floor if no owner can be reached.
    /// @return False if there is none.
    [[nodiscard]] bool take(core::time_point now, const core::organisation_id& organisation);

    /// @brief Result of ask(): a request to send, nothing while one is outstanding, or a refusal.
    struct outcome {
        std::optional<quota_request> request;
        std::optional<quota_refusal> refusal;
    };

    /// @brief Asks for a token, as none is available.
    /// @param is_new The operation asks for the first time.
    [[nodiscard]] outcome ask(core::time_point now, const core::organisation_id& organisation,
                              bool is_new);

    /// @return The refusal that ask() would give now; empty if an owner may still be asked.
    [[nodiscard]] std::optional<quota_refusal> refusal(core::time_point now,
                                                       const core::organisation_id& organisation);

    /// @return The organisation whose operations may go on; empty if the request is not known.
    std::optional<core::organisation_id> on_grant(core::time_point now, const quota_grant& grant);

    /// @brief The request could not be sent or its answer is lost.
    /// @return The organisation whose operations may go on; empty if the request is not known.
    std::optional<core::organisation_id> on_unreachable(core::time_point now, std::uint64_t number);

    /// @brief Drops what has expired.
    void expire(core::time_point now);

    /// Time after which another owner is asked. An owner on a machine with a twelfth of a core
    /// answers within some ten milliseconds.
    static constexpr std::chrono::milliseconds answer_timeout{100};
    /// Time for which a slot is not asked after a failure. Doubles with each further one.
    static constexpr std::chrono::milliseconds unreachable_pause{400};
    static constexpr std::chrono::milliseconds unreachable_pause_max{1600};
    /// Longest time for which a slot that refused is not asked again. Limits the messages of an
    /// organisation that exceeds its quota.
    static constexpr std::chrono::milliseconds refused_pause_max{250};

private:
    struct batch {
        core::time_point valid_until;
        unsigned count = 0;
    };

    struct slot_state {
        quota_slot slot = 0;
        /// Time until which the slot is not asked.
        core::time_point refused_until;
        core::time_point unreachable_until;
        std::chrono::milliseconds pause = unreachable_pause;
        /// Time at which the owner expects a token for the next caller of this host.
        core::time_point retry_at;
    };

    struct outstanding {
        core::organisation_id organisation;
        std::size_t slot_index = 0;
        core::time_point sent;
    };

    struct organisation_state {
        quota_share share;
        std::array<slot_state, slots_per_organisation> slots;
        std::size_t next_slot = 0;
        std::deque<batch> batches;
        /// Number of the request whose answer is awaited; 0 for none.
        std::uint64_t pending = 0;
        /// Operations that began to wait while the request was outstanding.
        unsigned waiting = 0;
        /// Times at which the floor was used.
        std::deque<core::time_point> floor_uses;
        /// Average number of operations in the validity of a grant.
        double need = 0;
        unsigned used = 0;
        core::time_point need_updated;
        /// Time at which the organisation was removed or lost its limit.
        std::optional<core::time_point> removed_at;
    };

    [[nodiscard]] organisation_state* find(const core::organisation_id& organisation);
    void drop_expired(core::time_point now, organisation_state& state) const;
    [[nodiscard]] bool floor_available(core::time_point now, organisation_state& state) const;
    void note_use(core::time_point now, organisation_state& state) const;
    void update_need(core::time_point now, organisation_state& state) const;
    static void mark_unreachable(core::time_point now, slot_state& slot);
    void check_pending(core::time_point now, organisation_state& state);
    [[nodiscard]] static std::optional<std::size_t> next_slot(core::time_point now,
                                                              const organisation_state& state);
    [[nodiscard]] quota_refusal refuse(core::time_point now, organisation_state& state) const;

    quota_settings settings_;
    quota_floor floor_;
    core::id_source numbers_;
    std::map<core::organisation_id, organisation_state> organisations_;
    std::map<std::uint64_t, outstanding> outstanding_;
};

} // namespace lovagemoor::proxy
