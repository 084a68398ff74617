#include "peer_link.hpp"

#include <string_view>
#include <utility>

namespace lovagemoor::host::internal {

namespace {

constexpr std::chrono::milliseconds connect_timeout{1'000};
constexpr std::chrono::milliseconds reconnect_interval{50};
constexpr std::chrono::milliseconds max_reconnect_interval{1'000};

int to_milliseconds(std::chrono::milliseconds value) noexcept {
    return static_cast<int>(value.count());
}

void set_options(zmq::socket_t& socket, const peer_settings& settings) {
    // Without this option ZeroMQ buffers messages for an unreachable host and delivers them when
    // the host becomes reachable again, however late that is.
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::sndhwm, settings.high_water_mark);
    socket.set(zmq::sockopt::linger, to_milliseconds(settings.linger));
    socket.set(zmq::sockopt::connect_timeout, to_milliseconds(connect_timeout));
    socket.set(zmq::sockopt::handshake_ivl, to_milliseconds(connect_timeout));
    socket.set(zmq::sockopt::reconnect_ivl, to_milliseconds(reconnect_interval));
    socket.set(zmq::sockopt::reconnect_ivl_max, to_milliseconds(max_reconnect_interval));
    socket.set(zmq::sockopt::tcp_maxrt, to_milliseconds(settings.unacknowledged_timeout));
}

/// @return The endpoint to connect to. ZeroMQ expects the local address, if any, before the remote
/// one.
std::string connect_endpoint(const std::string& source, const std::string& address) {
    constexpr std::string_view scheme = "tcp://";
    if (source.empty() || !address.starts_with(scheme)) {
        return address;
    }
    return std::string{scheme} + source + ":0;" + address.substr(scheme.size());
}

} // namespace

std::size_t frames_size(const core::host_id& from, const core::host_id& to,
                        std::size_t payload_size) noexcept {
    return from.value.size() + to.value.size() + payload_size;
}

peer_link::peer_link(zmq::context_t& context, const peer_settings& settings, core::host_id to,
                     std::string address, steady_clock::time_point now)
    : settings_{&settings},
      to_{std::move(to)},
      address_{std::move(address)},
      socket_{context, zmq::socket_type::dealer},
      last_used_{now} {
    set_options(socket_, settings);
    socket_.connect(connect_endpoint(settings.source_address, address_));
}

steady_clock::time_point peer_link::next_expiry() const noexcept {
    return pending_.empty() ? last_used_ + settings_->idle_timeout
                            : pending_.front().created + settings_->max_pending_age;
}

bool peer_link::idle_at(steady_clock::time_point now) const noexcept {
    return pending_.empty() && now - last_used_ >= settings_->idle_timeout;
}

void peer_link::push(outgoing_message message, peer_counters& counters) {
    if (pending_.size() >= settings_->max_pending_messages ||
        pending_bytes_ + message.payload.size() > settings_->max_pending_bytes) {
        ++counters.dropped;
        return;
    }
    last_used_ = message.created;
    pending_bytes_ += message.payload.size();
    pending_.push_back(std::move(message));
}

void peer_link::flush(steady_clock::time_point now, peer_counters& counters) {
    while (!pending_.empty()) {
        const outgoing_message& message = pending_.front();
        if (now - message.created >= settings_->max_pending_age) {
            ++counters.dropped;
            pop_pending();
            continue;
        }
        if (!send(message.payload)) {
            return;
        }
        peer_traffic& traffic = message.is_data ? counters.sent_data : counters.sent_control;
        ++traffic.messages;
        traffic.bytes += frames_size(settings_->self, to_, message.payload.size());
        pop_pending();
    }
}

void peer_link::drop_messages(peer_counters& counters) {
    counters.dropped += pending_.size();
    pending_.clear();
    pending_bytes_ = 0;
    socket_.set(zmq::sockopt::linger, 0);
}

bool peer_link::send(const std::string& payload) {
    const auto more = zmq::send_flags::dontwait | zmq::send_flags::sndmore;
    if (!socket_.send(zmq::buffer(settings_->self.value), more).has_value()) {
        return false;
    }
    // The high-water mark counts whole messages, so ZeroMQ accepts the remaining frames once it has
    // accepted the first one. When the connection closes between two frames, ZeroMQ drops the whole
    // message.
    (void)socket_.send(zmq::buffer(to_.value), more);
    (void)socket_.send(zmq::buffer(payload), zmq::send_flags::dontwait);
    return true;
}

void peer_link::pop_pending() {
    pending_bytes_ -= pending_.front().payload.size();
    pending_.pop_front();
}

} // namespace lovagemoor::host::internal
