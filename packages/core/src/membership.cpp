#include <lovagemoor/core/membership.hpp>

#include <algorithm>
#include <bit>
#include <string>
#include <utility>

namespace lovagemoor::core {

namespace internal {

/// One of this many pings goes to another failure domain.
constexpr std::uint32_t pings_per_cycle = 4;
/// Factor in the number of messages that carry a state change, which is this factor times log2 of
/// the number of members. A factor of three reaches all members with high probability.
constexpr std::uint32_t announcement_factor = 3;
/// Number of seeds that are asked for the member list in one attempt.
constexpr std::size_t seeds_per_attempt = 3;
constexpr duration join_retry_interval = std::chrono::milliseconds{500};
/// Interval at which a dead member or a host that is no member is contacted.
constexpr duration contact_interval = std::chrono::seconds{2};
/// Minimum interval between requests for full member lists, as a list takes up to 200 KB at 1,800
/// hosts.
constexpr duration sync_interval = std::chrono::seconds{5};
/// How long dead members are contacted; longer than the longest expected partition of one hour.
constexpr duration dead_retention = std::chrono::hours{2};

/// Rank of a state within one incarnation; a state of higher rank replaces one of lower rank.
int precedence(member_state state) noexcept {
    switch (state) {
    case member_state::alive:
        return 0;
    case member_state::leaving:
        return 1;
    case member_state::suspect:
        return 2;
    case member_state::dead:
        return 3;
    }
    return 0;
}

bool supersedes(const member_update& update, const member_update& held) noexcept {
    if (update.incarnation != held.incarnation) {
        return update.incarnation > held.incarnation;
    }
    return precedence(update.state) > precedence(held.state);
}

bool is_running(const member_update& member) noexcept {
    return member.state != member_state::dead;
}

} // namespace internal

membership::membership(const core_settings& settings, cluster_view& view, std::mt19937_64& random)
    : settings_{settings}, view_{view}, random_{random} {}

void membership::join(time_point now, const std::vector<host_record>& seeds, action_list& actions) {
    seeds_ = seeds;
    std::erase_if(seeds_, [this](const host_record& seed) {
        return seed.id == view_.self().id || seed.peer_address == view_.self().peer_address;
    });
    joined_ = false;
    next_ping_ = now + settings_.ping_interval;
    contact_absent_hosts(now, actions);
}

void membership::on_ping(time_point now, const host_id& from, const membership_ping& message,
                         action_list& actions) {
    merge(now, message.gossip, actions);
    send(from, membership_ack{message.sequence, view_.self().id, make_header(from)}, actions);
}

void membership::on_ack(time_point now, const host_id& /*from*/, const membership_ack& message,
                        action_list& actions) {
    merge(now, message.gossip, actions);
    const auto ping = pings_.find(message.sequence);
    if (ping != pings_.end() && ping->second.subject == message.subject) {
        pings_.erase(ping);
        return;
    }
    const auto relayed = relayed_.find(message.sequence);
    if (relayed != relayed_.end() && relayed->second.subject == message.subject) {
        const relayed_ping answered = relayed->second;
        relayed_.erase(relayed);
        send(answered.requester,
             membership_ack{answered.sequence, answered.subject, make_header(answered.requester)},
             actions);
    }
}

void membership::on_ping_request(time_point now, const host_id& from,
                                 const membership_ping_request& message, action_list& actions) {
    merge(now, message.gossip, actions);
    const std::uint64_t sequence = ++last_sequence_;
    relayed_[sequence] =
        relayed_ping{from, message.sequence, message.subject, now + settings_.ping_interval};
    send_ping(message.subject, sequence, actions);
}

void membership::on_sync(time_point now, const host_id& from, const membership_sync& message,
                         action_list& actions) {
    merge(now, message.gossip, actions);
    if (!joined_) {
        // The fleet already knows the members on the first list that a joining host receives.
        // Announcing each of them would fill this host's messages for minutes.
        announcements_.clear();
    }
    joined_ = true;
    if (!message.is_reply) {
        send_sync(from, message.gossip.sender.host.peer_address, true, actions);
    }
}

void membership::on_timer(time_point now, action_list& actions) {
    if (next_ping_ == time_point::max()) {
        return;
    }
    if (now > next_ping_ + settings_.ping_interval) {
        compensate_for_pause(now - next_ping_);
    }
    check_pings(now, actions);
    check_suspicions(now);
    if (now >= next_contact_) {
        contact_absent_hosts(now, actions);
    }
    if (now >= next_ping_) {
        start_round(now, actions);
        next_ping_ += settings_.ping_interval;
        if (next_ping_ <= now) {
            next_ping_ = now + settings_.ping_interval;
        }
    }
}

void membership::leave(time_point /*now*/, action_list& actions) {
    view_.set_leaving();
    view_.set_incarnation(view_.incarnation() + 1);
    for (const host_id& host : random_members(settings_.indirect_pings, host_id{})) {
        send_ping(host, ++last_sequence_, actions);
    }
}

std::vector<host_id> membership::take_lost_hosts() {
    return std::exchange(lost_hosts_, {});
}

time_point membership::next_wakeup() const {
    time_point wakeup = std::min(next_ping_, next_contact_);
    for (const auto& [sequence, ping] : pings_) {
        wakeup = std::min(wakeup, ping.sent_at + (ping.asked_others ? settings_.ping_interval
                                                                    : settings_.ping_timeout));
    }
    for (const auto& [host, until] : suspected_until_) {
        wakeup = std::min(wakeup, until);
    }
    return wakeup;
}

void membership::merge(time_point now, const gossip_header& gossip, action_list& actions) {
    merge_sender(now, gossip.sender, actions);
    for (const member_update& update : gossip.updates) {
        merge_update(now, update);
    }
}

void membership::merge_sender(time_point now, const member_update& sender, action_list& actions) {
    const host_id& id = sender.host.id;
    const member_update* held = view_.find_member(id);
    const bool was_running = held != nullptr && internal::is_running(*held);
    merge_update(now, sender);
    held = view_.find_member(id);
    if (held == nullptr) {
        return;
    }
    if (sender.configuration_version > held->configuration_version) {
        member_update update = *held;
        update.configuration_version = sender.configuration_version;
        view_.set_member(update);
    }
    // A host that was not a running member may belong to another part of the fleet, as after a
    // partition, so both parts exchange their member lists.
    if (joined_ && !was_running && internal::is_running(*held) && now >= next_sync_) {
        next_sync_ = now + internal::sync_interval;
        send_sync(id, held->host.peer_address, false, actions);
    }
}

void membership::merge_update(time_point now, member_update update) {
    if (update.host.id == view_.self().id) {
        merge_own_state(update);
        return;
    }
    const member_update* held = view_.find_member(update.host.id);
    if (update.host.id.empty() || (held == nullptr && !internal::is_running(update))) {
        return;
    }
    if (held == nullptr) {
        store(now, update);
        return;
    }
    if (internal::supersedes(update, *held)) {
        const bool held_as_alive =
            held->state == member_state::alive || held->state == member_state::leaving;
        if (update.state == member_state::dead && held_as_alive) {
            update.state = member_state::suspect;
        }
        update.configuration_version =
            std::max(update.configuration_version, held->configuration_version);
        store(now, update);
    } else if (!internal::is_running(*held) && internal::is_running(update) &&
               update.incarnation == held->incarnation) {
        reported_alive_.insert(update.host.id);
        next_contact_ = std::min(next_contact_, now + settings_.ping_interval);
    }
}

void membership::merge_own_state(const member_update& update) {
    const bool is_reported_failed =
        update.state == member_state::suspect || update.state == member_state::dead;
    const bool is_earlier_process = update.incarnation > view_.incarnation();
    if (is_earlier_process || (is_reported_failed && update.incarnation == view_.incarnation())) {
        view_.set_incarnation(update.incarnation + 1);
    }
}

void membership::store(time_point now, const member_update& update) {
    const host_id id = update.host.id;
    const member_update* held = view_.find_member(id);
    const bool was_running = held != nullptr && internal::is_running(*held);
    const bool is_replaced = was_running && !is_same_process(update.incarnation, held->incarnation);
    if (held == nullptr) {
        ping_order& order = orders_[update.host.domain == view_.self().domain ? 0 : 1];
        std::uniform_int_distribution<std::size_t> position{0, order.hosts.size()};
        order.hosts.insert(order.hosts.begin() + static_cast<std::ptrdiff_t>(position(random_)),
                           id);
    }
    if (is_replaced || (was_running && !internal::is_running(update))) {
        lost_hosts_.push_back(id);
    }
    suspected_until_.erase(id);
    dead_since_.erase(id);
    if (update.state == member_state::suspect) {
        suspected_until_[id] = now + settings_.suspicion_timeout;
    } else if (update.state == member_state::dead) {
        dead_since_[id] = now;
    }
    if (internal::is_running(update)) {
        reported_alive_.erase(id);
    }
    view_.set_member(update);
    announce(id);
}

void membership::announce(const host_id& host) {
    const auto members = static_cast<std::uint32_t>(view_.members().size());
    announcements_[host] =
        internal::announcement_factor * static_cast<std::uint32_t>(std::bit_width(members + 1));
}

void membership::start_round(time_point now, action_list& actions) {
    remove_expired_dead(now);
    std::erase_if(relayed_, [now](const auto& entry) { return entry.second.expires_at <= now; });
    const std::optional<host_id> subject = next_member();
    if (!subject.has_value()) {
        return;
    }
    const std::uint64_t sequence = ++last_sequence_;
    pings_[sequence] = pending_ping{*subject, now, false};
    send_ping(*subject, sequence, actions);
}

void membership::check_pings(time_point now, action_list& actions) {
    std::vector<host_id> unanswered;
    for (auto entry = pings_.begin(); entry != pings_.end();) {
        pending_ping& ping = entry->second;
        if (now >= ping.sent_at + settings_.ping_interval) {
            unanswered.push_back(ping.subject);
            entry = pings_.erase(entry);
            continue;
        }
        if (!ping.asked_others && now >= ping.sent_at + settings_.ping_timeout) {
            ping.asked_others = true;
            for (const host_id& helper : random_members(settings_.indirect_pings, ping.subject)) {
                send(helper,
                     membership_ping_request{entry->first, ping.subject, make_header(helper)},
                     actions);
            }
        }
        ++entry;
    }
    for (const host_id& host : unanswered) {
        suspect(now, host, actions);
    }
}

void membership::suspect(time_point now, const host_id& host, action_list& actions) {
    const member_update* held = view_.find_member(host);
    if (held == nullptr || !internal::is_running(*held) || held->state == member_state::suspect) {
        return;
    }
    member_update update = *held;
    update.state = member_state::suspect;
    store(now, update);
    // The ping contains the suspicion, so that a host which only lost a message can refute it at
    // once.
    send_ping(host, ++last_sequence_, actions);
}

void membership::check_suspicions(time_point now) {
    std::vector<host_id> expired;
    for (const auto& [host, until] : suspected_until_) {
        if (until <= now) {
            expired.push_back(host);
        }
    }
    for (const host_id& host : expired) {
        suspected_until_.erase(host);
        const member_update* held = view_.find_member(host);
        if (held != nullptr) {
            member_update update = *held;
            update.state = member_state::dead;
            store(now, update);
        }
    }
}

void membership::compensate_for_pause(duration pause) {
    // Answers that arrived while this process was paused have not been processed yet.
    pings_.clear();
    for (auto& [host, until] : suspected_until_) {
        until += pause;
    }
}

void membership::contact_absent_hosts(time_point now, action_list& actions) {
    const bool has_no_members = !joined_ || !has_live_member();
    next_contact_ =
        now + (has_no_members ? internal::join_retry_interval : internal::contact_interval);
    if (!reported_alive_.empty()) {
        const host_id host = *reported_alive_.begin();
        reported_alive_.erase(reported_alive_.begin());
        send_ping(host, ++last_sequence_, actions);
        if (!reported_alive_.empty()) {
            next_contact_ = now + settings_.ping_interval;
        }
    }
    std::vector<host_record> hosts = absent_hosts();
    std::shuffle(hosts.begin(), hosts.end(), random_);
    hosts.resize(std::min(hosts.size(), has_no_members ? internal::seeds_per_attempt : 1));
    for (const host_record& host : hosts) {
        if (has_no_members) {
            send_sync(host.id, host.peer_address, false, actions);
        } else {
            const std::uint64_t sequence = ++last_sequence_;
            actions.emplace_back(send_to_peer{host.id, host.peer_address,
                                              membership_ping{sequence, make_header(host.id)}});
        }
    }
}

void membership::remove_expired_dead(time_point now) {
    for (auto entry = dead_since_.begin(); entry != dead_since_.end();) {
        if (entry->second + internal::dead_retention > now) {
            ++entry;
            continue;
        }
        for (ping_order& order : orders_) {
            std::erase(order.hosts, entry->first);
        }
        announcements_.erase(entry->first);
        reported_alive_.erase(entry->first);
        view_.remove_member(entry->first);
        entry = dead_since_.erase(entry);
    }
}

std::optional<host_id> membership::next_member() {
    const bool own_domain = ++round_ % internal::pings_per_cycle != 0;
    const std::optional<host_id> preferred = next_in(orders_[own_domain ? 0 : 1]);
    return preferred.has_value() ? preferred : next_in(orders_[own_domain ? 1 : 0]);
}

std::optional<host_id> membership::next_in(ping_order& order) {
    for (std::size_t tried = 0; tried < order.hosts.size(); ++tried) {
        if (order.next >= order.hosts.size()) {
            order.next = 0;
            std::shuffle(order.hosts.begin(), order.hosts.end(), random_);
        }
        const host_id& host = order.hosts[order.next++];
        const member_update* member = view_.find_member(host);
        if (member != nullptr && internal::is_running(*member)) {
            return host;
        }
    }
    return std::nullopt;
}

std::vector<host_id> membership::random_members(std::size_t count, const host_id& except) {
    std::vector<host_id> candidates;
    for (const auto& [id, member] : view_.members()) {
        if (id != except && internal::is_running(member) && member.state != member_state::suspect) {
            candidates.push_back(id);
        }
    }
    std::vector<host_id> chosen;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen), count, random_);
    return chosen;
}

std::vector<host_record> membership::absent_hosts() const {
    std::vector<host_record> hosts;
    std::set<std::string> reached{view_.self().peer_address};
    for (const auto& [id, member] : view_.members()) {
        if (internal::is_running(member)) {
            reached.insert(member.host.peer_address);
        }
    }
    const auto add = [&hosts, &reached](const host_record& host) {
        if (reached.insert(host.peer_address).second) {
            hosts.push_back(host);
        }
    };
    for (const host_record& seed : seeds_) {
        add(seed);
    }
    for (const auto& [id, member] : view_.members()) {
        add(member.host);
    }
    for (const auto& [id, host] : view_.listed_hosts()) {
        if (!host.leaving) {
            add(host);
        }
    }
    return hosts;
}

bool membership::has_live_member() const {
    return std::any_of(view_.members().begin(), view_.members().end(),
                       [](const auto& entry) { return internal::is_running(entry.second); });
}

member_update membership::own_update() const {
    const host_record& self = view_.self();
    return {self, view_.incarnation(), self.leaving ? member_state::leaving : member_state::alive,
            view_.current_configuration().version};
}

gossip_header membership::make_header(const host_id& receiver) {
    gossip_header header{own_update(), {}, view_.digest()};
    // A receiver that this host does not regard as alive must be told, so that it can refute.
    const member_update* held = view_.find_member(receiver);
    if (held != nullptr && held->state != member_state::alive) {
        header.updates.push_back(*held);
    }
    std::vector<std::pair<std::uint32_t, host_id>> waiting;
    for (const auto& [host, left] : announcements_) {
        if (host != receiver) {
            waiting.emplace_back(left, host);
        }
    }
    std::sort(waiting.begin(), waiting.end(), std::greater<>{});
    for (const auto& [left, host] : waiting) {
        if (header.updates.size() >= settings_.updates_per_message) {
            break;
        }
        const member_update* member = view_.find_member(host);
        if (member != nullptr) {
            header.updates.push_back(*member);
        }
        if (left <= 1) {
            announcements_.erase(host);
        } else {
            announcements_[host] = left - 1;
        }
    }
    return header;
}

void membership::send(const host_id& to, peer_message message, action_list& actions) {
    std::string address = view_.peer_address(to);
    if (!address.empty()) {
        actions.emplace_back(send_to_peer{to, std::move(address), std::move(message)});
    }
}

void membership::send_ping(const host_id& to, std::uint64_t sequence, action_list& actions) {
    send(to, membership_ping{sequence, make_header(to)}, actions);
}

void membership::send_sync(const host_id& to, const std::string& address, bool is_reply,
                           action_list& actions) {
    gossip_header header{own_update(), {}, view_.digest()};
    for (const auto& [id, member] : view_.members()) {
        // Deaths are spread by new announcements only. A list of old ones would make the receiver
        // suspect hosts that it can reach. The receiver's own entry is always included, because it
        // needs it to refute.
        if (internal::is_running(member) || id == to) {
            header.updates.push_back(member);
        }
    }
    actions.emplace_back(send_to_peer{to, address, membership_sync{is_reply, std::move(header)}});
}

} // namespace lovagemoor::core
