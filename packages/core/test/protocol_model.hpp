#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <cstring>
#include <string>
#include <vector>

/// @file
/// @brief Model of the protocol by which hosts promote primaries and acknowledge writes and reads,
/// and a breadth-first search over its states.
///
/// A host claims a term, fences the lower terms by the promises of a majority of targets and
/// promotes the target with the best log among them. A write or read is acknowledged when a
/// majority attests its term and position.
///
/// Three targets have logs and promises. Two hosts run one promotion each. Callers write and read
/// at every target that considers itself the primary. Messages are not modelled as objects: a
/// fencing call, a promotion, a log entry or an attestation takes effect in any later state
/// (delayed) or never (lost), and a host chooses any majority of the replies that it was sent. A
/// host or target that stops takes no further steps, so stops are covered in every state. A target
/// that restarts keeps its log and promise and loses its role.

namespace lovagemoor::core::model {

inline constexpr std::size_t target_count = 3;
inline constexpr std::size_t majority = 2;
inline constexpr std::size_t promotion_count = 2;
inline constexpr std::size_t term_count = 3;
inline constexpr std::size_t max_writes = 3;
inline constexpr std::size_t max_log = 1 + max_writes + promotion_count;

/// @brief Rule for the terms whose log entries a target accepts.
enum class log_rule : std::uint8_t {
    /// Rejects entries of terms below its promise. This is the protocol's rule.
    promise,
    /// Rejects entries of terms below the term of its last entry.
    last_entry,
    any,
};

/// @brief Bounds of the search and the protocol's safety rules, each of which can be weakened.
struct rules {
    std::size_t writes = 2;
    std::size_t reads = 0;
    std::size_t restarts = 1;
    /// False for durability primary_only, where replicas need not hold the position.
    bool position_on_replicas = true;
    /// When false, every attestation takes effect as soon as it is valid. An attestation can only
    /// enable an acknowledgement, so the earliest one covers all later ones.
    bool attestations_are_steps = false;

    bool compares_term = true;
    log_rule accepted_log = log_rule::promise;
    bool attests_last_entry = true;
    bool attests_promise = true;
    bool attests_after_commit = true;
    bool fences_majority = true;
    bool claims_by_swap = true;
    bool promotes_one_target = true;
};

enum class violation : std::uint8_t {
    none,
    lost_write,
    acknowledged_by_replaced_primary,
    two_primaries,
    stale_read,
};

[[nodiscard]] inline const char* to_string(violation value) {
    constexpr std::array<const char*, 5> names{
        "none", "lost_write", "acknowledged_by_replaced_primary", "two_primaries", "stale_read"};
    return names.at(static_cast<std::size_t>(value));
}

/// @brief Log entries, encoded as (term << 2) | write. Write 0 is the first entry of the term.
struct log_entries {
    std::array<std::uint8_t, max_log> entries{};
    std::uint8_t length = 0;

    void append(std::size_t term, std::size_t write) {
        entries.at(length++) = static_cast<std::uint8_t>(term << 2U | write);
    }

    [[nodiscard]] std::uint8_t last_term() const {
        return length == 0 ? 0 : static_cast<std::uint8_t>(entries.at(length - 1U) >> 2U);
    }

    [[nodiscard]] std::uint8_t writes() const {
        std::uint8_t mask = 0;
        for (std::size_t index = 0; index < length; ++index) {
            mask = static_cast<std::uint8_t>(mask | 1U << (entries.at(index) & 3U));
        }
        return mask & 0xEU;
    }

    [[nodiscard]] std::uint8_t common_length(const log_entries& other) const {
        std::uint8_t index = 0;
        while (index < length && index < other.length &&
               entries.at(index) == other.entries.at(index)) {
            ++index;
        }
        return index;
    }

    void truncate(std::uint8_t new_length) {
        std::fill(entries.begin() + new_length, entries.end(), std::uint8_t{0});
        length = new_length;
    }

    friend bool operator==(const log_entries&, const log_entries&) = default;
};

struct target_state {
    log_entries log;
    std::uint8_t promised = 1;
    /// Term in which the target considers itself the primary, 0 for a replica.
    std::uint8_t role = 0;
};

/// @brief A host's promotion. A reply is 0 while there is none, else (last term << 3 | position).
struct promotion_state {
    std::uint8_t term = 0;
    std::array<std::uint8_t, target_count> replies{};
    /// Targets that were asked to promote.
    std::uint8_t asked = 0;
};

/// @brief A write or read that waits for attestations.
struct operation_state {
    std::uint8_t term = 0;
    std::uint8_t primary = 0;
    std::uint8_t position = 0;
    std::uint8_t attested = 0;
    std::uint8_t is_done = 0;
    /// For a write: a later term already had a primary at the commit.
    std::uint8_t is_after_replacement = 0;
    /// For a read: bit mask of the writes that were acknowledged before its start but not seen by
    /// it.
    std::uint8_t missed = 0;
};

/// @brief A state of the model. It consists of bytes only, so that its memory can be hashed.
struct state {
    std::array<target_state, target_count> targets;
    /// The log that the primary of each term has written.
    std::array<log_entries, term_count + 1> term_logs;
    /// Bit mask of the targets that were promoted in each term.
    std::array<std::uint8_t, term_count + 1> primaries{};
    std::array<promotion_state, promotion_count> promotions;
    std::array<operation_state, max_writes> writes;
    operation_state read;
    /// Highest position that each target could have attested for each term so far.
    std::array<std::array<std::uint8_t, target_count>, term_count + 1> attestable{};
    std::uint8_t restarts = 0;
};

static_assert(std::has_unique_object_representations_v<state>);

/// @brief Hash set of 64-bit fingerprints with open addressing.
class fingerprint_set {
public:
    fingerprint_set() : slots_(1U << 16U, 0) {}

    /// @return True if the fingerprint was not in the set.
    bool insert(std::uint64_t fingerprint) {
        fingerprint = std::max<std::uint64_t>(fingerprint, 1);
        if (2 * (size_ + 1) > slots_.size()) {
            grow();
        }
        if (!place(slots_, fingerprint)) {
            return false;
        }
        ++size_;
        return true;
    }

private:
    static bool place(std::vector<std::uint64_t>& slots, std::uint64_t fingerprint) {
        const std::size_t mask = slots.size() - 1;
        for (std::size_t index = fingerprint & mask;; index = (index + 1) & mask) {
            if (slots[index] == fingerprint) {
                return false;
            }
            if (slots[index] == 0) {
                slots[index] = fingerprint;
                return true;
            }
        }
    }

    void grow() {
        std::vector<std::uint64_t> larger(slots_.size() * 2, 0);
        for (const std::uint64_t fingerprint : slots_) {
            if (fingerprint != 0) {
                place(larger, fingerprint);
            }
        }
        slots_ = std::move(larger);
    }

    std::vector<std::uint64_t> slots_;
    std::size_t size_ = 0;
};

struct search_result {
    violation found = violation::none;
    std::size_t states = 0;
    /// Steps from the initial state to the violation.
    std::vector<std::string> trace;
};

/// @brief Explores all states that are reachable under the rules. In the initial state one target
/// is the primary and no writes have been made.
class search {
public:
    explicit search(const rules& given) : rules_{given} {}

    [[nodiscard]] search_result run() {
        state initial;
        for (target_state& target : initial.targets) {
            target.log.append(1, 0);
        }
        initial.targets[0].role = 1;
        initial.term_logs[1] = initial.targets[0].log;
        initial.primaries[1] = 1;
        record_attestations(initial);
        add(initial, "initial");
        while (first_ < frontier_.size() && result_.found == violation::none) {
            current_ = first_;
            const state from = frontier_[first_++];
            expand(from);
            trim();
        }
        return result_;
    }

private:
    struct step_record {
        std::uint32_t parent = 0;
        std::array<char, 12> name{};
    };

    void add(state next, const char* kind, std::size_t first = 0, std::size_t second = 0) {
        record_attestations(next);
        if (!seen_.insert(fingerprint(next))) {
            return;
        }
        ++result_.states;
        step_record step;
        step.parent = static_cast<std::uint32_t>(trimmed_ + current_);
        const std::string name = kind + std::to_string(first) + std::to_string(second);
        std::copy_n(name.begin(), std::min(name.size(), step.name.size()), step.name.begin());
        steps_.push_back(step);
        const violation found = check(next);
        if (found != violation::none && result_.found == violation::none) {
            result_.found = found;
            record_trace();
        }
        frontier_.push_back(next);
    }

    void record_trace() {
        for (std::size_t index = steps_.size() - 1; index > 0; index = steps_[index].parent) {
            const std::array<char, 12>& name = steps_[index].name;
            result_.trace.emplace_back(name.begin(), std::find(name.begin(), name.end(), '\0'));
        }
        std::reverse(result_.trace.begin(), result_.trace.end());
    }

    /// Frees the states at the front of the frontier that have been expanded.
    void trim() {
        constexpr std::size_t batch = 1U << 16U;
        if (first_ >= batch && first_ * 2 >= frontier_.size()) {
            frontier_.erase(frontier_.begin(),
                            frontier_.begin() + static_cast<std::ptrdiff_t>(first_));
            trimmed_ += first_;
            first_ = 0;
        }
    }

    static std::uint64_t mix(std::uint64_t value) {
        value ^= value >> 30U;
        value *= 0xbf58476d1ce4e5b9U;
        value ^= value >> 27U;
        value *= 0x94d049bb133111ebU;
        return value ^ value >> 31U;
    }

    /// Targets 1 and 2 are interchangeable in the initial state, so a state and its mirror image
    /// have the same fingerprint.
    static std::uint64_t fingerprint(const state& value) {
        return std::min(hash(value), hash(mirror(value)));
    }

    static std::uint64_t hash(const state& value) {
        std::array<std::uint64_t, (sizeof(state) + 7) / 8> words{};
        std::memcpy(words.data(), &value, sizeof value);
        std::uint64_t result = 0x9e3779b97f4a7c15U;
        for (const std::uint64_t word : words) {
            result = mix(result ^ word) + 0x9e3779b97f4a7c15U;
        }
        return result;
    }

    static std::uint8_t mirror_mask(std::uint8_t mask) {
        return static_cast<std::uint8_t>((mask & 1U) | (mask & 2U) << 1U | (mask & 4U) >> 1U);
    }

    static void mirror(operation_state& operation) {
        operation.attested = mirror_mask(operation.attested);
        operation.primary = operation.primary == 0
                                ? std::uint8_t{0}
                                : static_cast<std::uint8_t>(3 - operation.primary);
    }

    static state mirror(state value) {
        std::swap(value.targets[1], value.targets[2]);
        for (std::uint8_t& mask : value.primaries) {
            mask = mirror_mask(mask);
        }
        for (promotion_state& promotion : value.promotions) {
            std::swap(promotion.replies[1], promotion.replies[2]);
            promotion.asked = mirror_mask(promotion.asked);
        }
        for (operation_state& write : value.writes) {
            if (write.term != 0) {
                mirror(write);
            }
        }
        if (value.read.term != 0) {
            mirror(value.read);
        }
        for (std::array<std::uint8_t, target_count>& positions : value.attestable) {
            std::swap(positions[1], positions[2]);
        }
        return value;
    }

    /// @return The position that the target may attest for the term now, 0 when it may attest none.
    [[nodiscard]] std::uint8_t attested_position(const target_state& target,
                                                 std::size_t term) const {
        const bool promise_holds = !rules_.attests_promise || target.promised <= term;
        const bool entry_holds = !rules_.attests_last_entry || target.log.last_term() == term;
        return promise_holds && entry_holds ? target.log.length : std::uint8_t{0};
    }

    [[nodiscard]] bool attests(const state& value, const operation_state& operation,
                               std::size_t index) const {
        const bool needs_position = rules_.position_on_replicas || index == operation.primary;
        const std::uint8_t needed = needs_position ? operation.position : std::uint8_t{1};
        const std::uint8_t position = rules_.attests_after_commit
                                          ? attested_position(value.targets[index], operation.term)
                                          : value.attestable[operation.term][index];
        return position >= needed;
    }

    void record_attestations(state& value) const {
        if (!rules_.attests_after_commit) {
            for (std::size_t term = 1; term <= term_count; ++term) {
                for (std::size_t index = 0; index < target_count; ++index) {
                    std::uint8_t& highest = value.attestable[term][index];
                    highest = std::max(highest, attested_position(value.targets[index], term));
                }
            }
        }
        if (rules_.attestations_are_steps) {
            return;
        }
        for (operation_state& write : value.writes) {
            record_attestations(value, write);
        }
        record_attestations(value, value.read);
    }

    void record_attestations(const state& value, operation_state& operation) const {
        if (operation.term == 0 || operation.is_done != 0) {
            return;
        }
        for (std::size_t index = 0; index < target_count; ++index) {
            if (attests(value, operation, index)) {
                operation.attested = static_cast<std::uint8_t>(operation.attested | 1U << index);
            }
        }
        finish(operation);
    }

    static void finish(operation_state& operation) {
        if (static_cast<std::size_t>(std::popcount(operation.attested)) >= majority) {
            operation.is_done = 1;
            operation.attested = 0;
        }
    }

    [[nodiscard]] violation check(const state& value) const {
        for (const std::uint8_t primaries : value.primaries) {
            if (std::popcount(primaries) > 1) {
                return violation::two_primaries;
            }
        }
        for (std::size_t index = 0; index < max_writes; ++index) {
            const operation_state& write = value.writes[index];
            if (write.is_done == 0) {
                continue;
            }
            if (write.is_after_replacement != 0) {
                return violation::acknowledged_by_replaced_primary;
            }
            for (std::size_t term = write.term + 1U; term <= term_count; ++term) {
                const bool is_lost = value.primaries[term] != 0 &&
                                     (value.term_logs[term].writes() >> (index + 1U) & 1U) == 0;
                if (rules_.position_on_replicas && is_lost) {
                    return violation::lost_write;
                }
            }
        }
        return value.read.is_done != 0 && value.read.missed != 0 ? violation::stale_read
                                                                 : violation::none;
    }

    void expand(const state& from) {
        for (std::size_t index = 0; index < target_count; ++index) {
            write(from, index);
            read(from, index);
            restart(from, index);
            for (std::size_t term = 1; term <= term_count; ++term) {
                replicate(from, index, term);
            }
        }
        for (std::size_t host = 0; host < promotion_count; ++host) {
            claim(from, host);
            for (std::size_t index = 0; index < target_count; ++index) {
                fence(from, host, index);
                promote(from, host, index);
            }
            choose(from, host);
        }
        if (rules_.attestations_are_steps) {
            attest(from);
        }
    }

    void write(const state& from, std::size_t index) {
        const target_state& target = from.targets[index];
        const auto next_write = static_cast<std::size_t>(
            std::count_if(from.writes.begin(), from.writes.end(),
                          [](const operation_state& each) { return each.term != 0; }));
        if (target.role == 0 || target.promised != target.role || next_write >= rules_.writes) {
            return;
        }
        state next = from;
        log_entries& log = next.targets[index].log;
        log.append(target.role, next_write + 1);
        next.term_logs[target.role] = log;
        operation_state& operation = next.writes[next_write];
        operation.term = target.role;
        operation.primary = static_cast<std::uint8_t>(index);
        operation.position = log.length;
        for (std::size_t term = target.role + 1U; term <= term_count; ++term) {
            if (next.primaries[term] != 0) {
                operation.is_after_replacement = 1;
            }
        }
        add(next, "write", index, next_write + 1);
    }

    /// Starts a read that must see all acknowledged writes. The target may be fenced by a later
    /// term without knowing the later primary.
    void read(const state& from, std::size_t index) {
        const target_state& target = from.targets[index];
        if (rules_.reads == 0 || from.read.term != 0 || target.role == 0) {
            return;
        }
        std::uint8_t acknowledged = 0;
        for (std::size_t write = 0; write < max_writes; ++write) {
            if (from.writes[write].is_done != 0) {
                acknowledged = static_cast<std::uint8_t>(acknowledged | 2U << write);
            }
        }
        state next = from;
        next.read.term = target.role;
        next.read.primary = static_cast<std::uint8_t>(index);
        next.read.position = target.log.length;
        next.read.missed = static_cast<std::uint8_t>(acknowledged & ~target.log.writes());
        add(next, "read", index);
    }

    void restart(const state& from, std::size_t index) {
        if (from.restarts >= rules_.restarts || from.targets[index].role == 0) {
            return;
        }
        state next = from;
        next.targets[index].role = 0;
        ++next.restarts;
        add(next, "restart", index);
    }

    /// Appends the next entry of the term's log to the target's log, possibly from a delayed
    /// message.
    void replicate(const state& from, std::size_t index, std::size_t term) {
        const target_state& target = from.targets[index];
        const log_entries& source = from.term_logs[term];
        const std::uint8_t common = target.log.common_length(source);
        const bool is_below_promise = term < target.promised;
        const bool is_below_entry = term < target.log.last_term();
        const bool is_refused = (rules_.accepted_log == log_rule::promise && is_below_promise) ||
                                (rules_.accepted_log == log_rule::last_entry && is_below_entry);
        if (common == source.length || target.role >= term || is_refused) {
            return;
        }
        state next = from;
        target_state& receiver = next.targets[index];
        receiver.log.truncate(common);
        receiver.log.entries.at(common) = source.entries.at(common);
        receiver.log.length = static_cast<std::uint8_t>(common + 1U);
        receiver.promised = std::max(receiver.promised, static_cast<std::uint8_t>(term));
        receiver.role = 0;
        add(next, "log", index, term);
    }

    void claim(const state& from, std::size_t host) {
        if (from.promotions[host].term != 0) {
            return;
        }
        std::uint8_t highest = 1;
        for (const promotion_state& promotion : from.promotions) {
            highest = std::max(highest, promotion.term);
        }
        state next = from;
        next.promotions[host].term = static_cast<std::uint8_t>(highest + 1U);
        add(next, "claim", host, next.promotions[host].term);
        if (!rules_.claims_by_swap && highest > 1) {
            next.promotions[host].term = highest;
            add(next, "claim", host, highest);
        }
    }

    void fence(const state& from, std::size_t host, std::size_t index) {
        const promotion_state& promotion = from.promotions[host];
        const target_state& target = from.targets[index];
        if (promotion.term == 0 || promotion.replies[index] != 0 ||
            target.promised > promotion.term) {
            return;
        }
        state next = from;
        next.targets[index].promised = promotion.term;
        next.promotions[host].replies[index] =
            static_cast<std::uint8_t>(target.log.last_term() << 3U | target.log.length);
        add(next, "fence", host, index);
    }

    [[nodiscard]] std::uint8_t log_rank(std::uint8_t reply) const {
        return rules_.compares_term ? reply : reply & 7U;
    }

    /// Chooses the target to promote, from each possible majority of the replies.
    void choose(const state& from, std::size_t host) {
        const promotion_state& promotion = from.promotions[host];
        if (promotion.asked != 0 && rules_.promotes_one_target) {
            return;
        }
        const std::size_t needed = rules_.fences_majority ? majority : 1;
        for (std::uint8_t subset = 1; subset < 1U << target_count; ++subset) {
            std::uint8_t best = 0;
            bool has_replies = static_cast<std::size_t>(std::popcount(subset)) >= needed;
            for (std::size_t index = 0; index < target_count; ++index) {
                if ((subset >> index & 1U) != 0) {
                    has_replies = has_replies && promotion.replies[index] != 0;
                    best = std::max(best, log_rank(promotion.replies[index]));
                }
            }
            for (std::size_t index = 0; has_replies && index < target_count; ++index) {
                if ((subset >> index & 1U) != 0 && log_rank(promotion.replies[index]) == best) {
                    state next = from;
                    std::uint8_t& asked = next.promotions[host].asked;
                    asked = static_cast<std::uint8_t>(asked | 1U << index);
                    add(next, "choose", host, index);
                }
            }
        }
    }

    void promote(const state& from, std::size_t host, std::size_t index) {
        const promotion_state& promotion = from.promotions[host];
        const target_state& target = from.targets[index];
        if ((promotion.asked >> index & 1U) == 0 || target.promised != promotion.term ||
            (from.primaries[promotion.term] >> index & 1U) != 0) {
            return;
        }
        state next = from;
        target_state& primary = next.targets[index];
        primary.role = promotion.term;
        primary.log.append(promotion.term, 0);
        next.term_logs[promotion.term] = primary.log;
        std::uint8_t& primaries = next.primaries[promotion.term];
        primaries = static_cast<std::uint8_t>(primaries | 1U << index);
        add(next, "promote", host, index);
    }

    void attest(const state& from) {
        for (std::size_t number = 0; number <= max_writes; ++number) {
            const bool is_read = number == max_writes;
            const operation_state& operation = is_read ? from.read : from.writes[number];
            if (operation.term == 0 || operation.is_done != 0) {
                continue;
            }
            for (std::size_t index = 0; index < target_count; ++index) {
                if ((operation.attested >> index & 1U) == 0 && attests(from, operation, index)) {
                    state next = from;
                    operation_state& waiting = is_read ? next.read : next.writes[number];
                    waiting.attested = static_cast<std::uint8_t>(waiting.attested | 1U << index);
                    add(next, "attest", number, index);
                }
            }
            if (static_cast<std::size_t>(std::popcount(operation.attested)) >= majority) {
                state next = from;
                finish(is_read ? next.read : next.writes[number]);
                add(next, "finish", number);
            }
        }
    }

    rules rules_;
    fingerprint_set seen_;
    std::vector<state> frontier_;
    std::vector<step_record> steps_;
    std::size_t first_ = 0;
    std::size_t current_ = 0;
    std::size_t trimmed_ = 0;
    search_result result_;
};

} // namespace lovagemoor::core::model
