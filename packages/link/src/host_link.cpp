#include <lovagemoor/link/host_link.hpp>

#include <lovagemoor/gateway/address.hpp>
#include <lovagemoor/gateway/line_stream.hpp>

#include <boost/asio/post.hpp>

#include <array>
#include <utility>
#include <vector>

namespace lovagemoor::link {

namespace internal {

namespace {

using clock = std::chrono::steady_clock;

constexpr std::uint32_t protocol_version = 1;

/// Bytes of the length before each frame, most significant first.
constexpr std::size_t length_bytes = 4;

/// Limit on the first frame, which names the host.
constexpr std::size_t max_hello_bytes = 1024;

constexpr std::size_t read_buffer_bytes = std::size_t{32} * 1024;

/// Interval at which channels are checked while one of them waits for something.
constexpr std::chrono::milliseconds check_interval{125};

/// Interval at which idle channels are looked for.
constexpr std::chrono::seconds idle_check_interval{5};

/// Delay before accepting again after a failure, for example without free descriptors.
constexpr std::chrono::milliseconds accept_retry_pause{100};

std::size_t read_length(const std::string& bytes, std::size_t offset) {
    std::size_t length = 0;
    for (std::size_t index = 0; index < length_bytes; ++index) {
        length = length << 8U | static_cast<unsigned char>(bytes[offset + index]);
    }
    return length;
}

void append_length(std::size_t length, std::string& output) {
    for (std::size_t index = length_bytes; index > 0; --index) {
        output += static_cast<char>(length >> (8U * (index - 1)) & 0xffU);
    }
}

} // namespace

} // namespace internal

const char* to_string(close_reason reason) noexcept {
    switch (reason) {
    case close_reason::refused:
        return "refused";
    case close_reason::timed_out:
        return "timed_out";
    case close_reason::closed:
        return "closed";
    case close_reason::malformed:
        return "malformed";
    case close_reason::output_limit:
        return "output_limit";
    case close_reason::idle:
        return "idle";
    }
    return "closed";
}

struct host_link::channel {
    enum class stage : std::uint8_t { connecting, greeting, open, ended };

    explicit channel(boost::asio::ip::tcp::socket connection) : socket{std::move(connection)} {}

    channel_id id = 0;
    boost::asio::ip::tcp::socket socket;
    bool accepted = false;
    stage state = stage::connecting;
    std::string input;
    std::string output;
    /// Number of bytes at the start of the output that have been sent.
    std::size_t sent = 0;
    bool writing = false;
    bool expects_answers = false;
    bool pinged = false;
    internal::clock::time_point created = internal::clock::now();
    internal::clock::time_point last_received = created;
    internal::clock::time_point last_used = created;
    internal::clock::time_point pinged_at;
};

host_link::host_link(boost::asio::io_context& context, link_settings settings,
                     link_handlers handlers)
    : context_{context},
      settings_{std::move(settings)},
      handlers_{std::move(handlers)},
      acceptor_{context, gateway::parse_endpoint(settings_.listen_address)},
      check_timer_{context},
      accept_timer_{context} {
    accept();
}

host_link::~host_link() {
    for (const auto& [id, known] : channels_) {
        known->state = channel::stage::ended;
        boost::system::error_code ignored;
        known->socket.close(ignored);
    }
}

std::uint16_t host_link::port() const {
    return acceptor_.local_endpoint().port();
}

void host_link::accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (error) {
                accept_timer_.expires_after(internal::accept_retry_pause);
                accept_timer_.async_wait([this](const boost::system::error_code& aborted) {
                    if (!aborted) {
                        accept();
                    }
                });
                return;
            }
            if (accepted_count_ < settings_.max_accepted) {
                start(add_channel(std::move(socket), true));
            }
            accept();
        });
}

host_link::channel& host_link::add_channel(boost::asio::ip::tcp::socket socket, bool accepted) {
    const std::shared_ptr<channel> added = std::make_shared<channel>(std::move(socket));
    added->id = ++last_channel_;
    added->accepted = accepted;
    accepted_count_ += accepted ? 1 : 0;
    channels_[added->id] = added;
    return *added;
}

channel_id host_link::dial(const std::string& address) {
    channel& dialled = add_channel(boost::asio::ip::tcp::socket{context_}, false);
    const channel_id id = dialled.id;
    boost::asio::ip::tcp::endpoint endpoint;
    try {
        endpoint = gateway::parse_endpoint(address);
    } catch (const boost::system::system_error&) {
        fail(channels_.at(id), close_reason::refused);
        return id;
    }
    dialled.socket.async_connect(
        endpoint, [this, opened = channels_.at(id)](const boost::system::error_code& error) {
            if (opened->state == channel::stage::ended) {
                return;
            }
            if (error) {
                fail(opened, close_reason::refused);
                return;
            }
            start(*opened);
        });
    schedule_check();
    return id;
}

void host_link::start(channel& opened) {
    opened.state = channel::stage::greeting;
    gateway::configure_socket(opened.socket);
    boost::system::error_code ignored;
    opened.socket.non_blocking(true, ignored);
    frame hello;
    hello.mutable_hello()->set_version(internal::protocol_version);
    hello.mutable_hello()->set_host(settings_.self.value);
    // Frames that were sent before follow the greeting.
    std::string queued = std::exchange(opened.output, {});
    append(opened, hello);
    opened.output += queued;
    const std::shared_ptr<channel> started = channels_.at(opened.id);
    wait_readable(started);
    write_output(started);
    schedule_check();
}

void host_link::append(channel& target, const frame& message) {
    const std::size_t before = target.output.size();
    internal::append_length(message.ByteSizeLong(), target.output);
    message.AppendToString(&target.output);
    if (handlers_.on_transfer) {
        handlers_.on_transfer(target.id, message.body_case(), transfer_direction::sent,
                              target.output.size() - before);
    }
}

void host_link::send(channel_id id, const frame& message) {
    const auto found = channels_.find(id);
    if (found == channels_.end()) {
        return;
    }
    channel& target = *found->second;
    append(target, message);
    target.last_used = internal::clock::now();
    if (target.output.size() - target.sent > settings_.max_unsent_bytes) {
        fail(found->second, close_reason::output_limit);
        return;
    }
    if (target.state != channel::stage::connecting) {
        unflushed_.insert(id);
    }
}

std::size_t host_link::unsent_bytes() const {
    std::size_t bytes = 0;
    for (const auto& [id, known] : channels_) {
        bytes += known->output.size() - known->sent;
    }
    return bytes;
}

void host_link::flush() {
    for (const channel_id id : std::exchange(unflushed_, {})) {
        const auto found = channels_.find(id);
        if (found != channels_.end()) {
            write_output(found->second);
        }
    }
}

void host_link::write_output(const std::shared_ptr<channel>& target) {
    if (target->writing || target->state == channel::stage::ended) {
        return;
    }
    while (target->sent < target->output.size()) {
        boost::system::error_code error;
        target->sent +=
            target->socket.write_some(boost::asio::buffer(target->output.data() + target->sent,
                                                          target->output.size() - target->sent),
                                      error);
        if (error == boost::asio::error::would_block) {
            break;
        }
        if (error) {
            fail(target, close_reason::closed);
            return;
        }
    }
    // To move the rest after each write would take quadratic time.
    if (target->sent >= target->output.size() / 2) {
        target->output.erase(0, target->sent);
        target->sent = 0;
    }
    if (target->output.empty()) {
        if (target->output.capacity() > internal::read_buffer_bytes) {
            target->output.shrink_to_fit();
        }
        return;
    }
    target->writing = true;
    target->socket.async_wait(boost::asio::ip::tcp::socket::wait_write,
                              [this, target](const boost::system::error_code& error) {
                                  target->writing = false;
                                  if (!error) {
                                      write_output(target);
                                  }
                              });
}

void host_link::wait_readable(const std::shared_ptr<channel>& source) {
    source->socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                              [this, source](const boost::system::error_code& error) {
                                  if (!error && source->state != channel::stage::ended) {
                                      read_available(source);
                                  }
                              });
}

void host_link::read_available(const std::shared_ptr<channel>& source) {
    static thread_local std::array<char, internal::read_buffer_bytes> buffer;
    boost::system::error_code error;
    const std::size_t received = source->socket.read_some(boost::asio::buffer(buffer), error);
    if (error && error != boost::asio::error::would_block) {
        fail(source, close_reason::closed);
        return;
    }
    if (!error) {
        source->last_received = internal::clock::now();
        source->pinged = false;
        source->input.append(buffer.data(), received);
        if (!deliver_frames(source)) {
            return;
        }
    }
    // A channel with much input takes turns with the other ones.
    wait_readable(source);
}

bool host_link::deliver_frames(const std::shared_ptr<channel>& source) {
    std::size_t read = 0;
    bool alive = true;
    while (alive && source->input.size() - read >= internal::length_bytes) {
        const std::size_t length = internal::read_length(source->input, read);
        const std::size_t limit = source->state == channel::stage::open ? settings_.max_frame_bytes
                                                                        : internal::max_hello_bytes;
        if (length > limit) {
            fail(source, close_reason::malformed);
            return false;
        }
        if (source->input.size() - read < internal::length_bytes + length) {
            break;
        }
        frame message;
        const bool parsed = message.ParseFromArray(
            source->input.data() + read + internal::length_bytes, static_cast<int>(length));
        read += internal::length_bytes + length;
        if (!parsed) {
            fail(source, close_reason::malformed);
            return false;
        }
        if (handlers_.on_transfer) {
            handlers_.on_transfer(source->id, message.body_case(), transfer_direction::received,
                                  internal::length_bytes + length);
        }
        alive = on_message(source, message);
    }
    if (alive) {
        source->input.erase(0, read);
        if (source->input.empty() && source->input.capacity() > internal::read_buffer_bytes) {
            source->input.shrink_to_fit();
        }
    }
    return alive;
}

bool host_link::on_message(const std::shared_ptr<channel>& source, const frame& message) {
    if (source->state == channel::stage::greeting) {
        if (!message.has_hello() || message.hello().host().empty() ||
            message.hello().version() != internal::protocol_version) {
            fail(source, close_reason::malformed);
            return false;
        }
        source->state = channel::stage::open;
        handlers_.on_open(source->id, core::host_id{message.hello().host()}, source->accepted);
        return source->state != channel::stage::ended;
    }
    switch (message.body_case()) {
    case frame::kPing: {
        frame pong;
        pong.mutable_pong()->set_number(message.ping().number());
        append(*source, pong);
        write_output(source);
        break;
    }
    case frame::kHello:
    case frame::kPong:
    case frame::BODY_NOT_SET:
        // Hosts of a later build may send frames that this one does not know.
        break;
    default:
        source->last_used = source->last_received;
        handlers_.on_frame(source->id, message);
        break;
    }
    return source->state != channel::stage::ended;
}

void host_link::close(channel_id id) {
    const auto found = channels_.find(id);
    if (found == channels_.end()) {
        return;
    }
    const std::shared_ptr<channel> closed = found->second;
    channels_.erase(found);
    unflushed_.erase(id);
    accepted_count_ -= closed->accepted ? 1 : 0;
    closed->state = channel::stage::ended;
    boost::system::error_code ignored;
    closed->socket.close(ignored);
}

void host_link::fail(const std::shared_ptr<channel>& ended, close_reason reason) {
    if (ended->state == channel::stage::ended) {
        return;
    }
    // A channel that never opened and was accepted is unknown to the owner.
    const bool known = !ended->accepted || ended->state == channel::stage::open;
    const channel_id id = ended->id;
    close(id);
    if (known) {
        boost::asio::post(context_, [this, id, reason] { handlers_.on_closed(id, reason); });
    }
}

void host_link::expect_answers(channel_id id, bool expected) {
    const auto found = channels_.find(id);
    if (found == channels_.end() || found->second->expects_answers == expected) {
        return;
    }
    found->second->expects_answers = expected;
    if (expected) {
        // The silence before the request does not count.
        found->second->last_received = internal::clock::now();
        found->second->pinged = false;
        schedule_check();
    }
}

void host_link::schedule_check() {
    bool urgent = false;
    for (const auto& [id, known] : channels_) {
        urgent = urgent || known->expects_answers || known->state != channel::stage::open;
    }
    if (channels_.empty() || (check_scheduled_ && !urgent)) {
        return;
    }
    check_scheduled_ = true;
    const auto pause = urgent ? std::chrono::milliseconds{internal::check_interval}
                              : std::chrono::milliseconds{internal::idle_check_interval};
    if (check_timer_.expiry() > internal::clock::now() &&
        check_timer_.expiry() <= internal::clock::now() + pause) {
        return;
    }
    check_timer_.expires_after(pause);
    check_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            check_scheduled_ = false;
            check_channels();
        }
    });
}

void host_link::check_channels() {
    const internal::clock::time_point now = internal::clock::now();
    // Writing a ping may end its channel.
    std::vector<std::shared_ptr<channel>> checked;
    checked.reserve(channels_.size());
    for (const auto& [id, known] : channels_) {
        checked.push_back(known);
    }
    for (const std::shared_ptr<channel>& known : checked) {
        if (known->state == channel::stage::connecting) {
            if (now - known->created > settings_.connect_timeout) {
                fail(known, close_reason::timed_out);
            }
        } else if (known->state == channel::stage::greeting) {
            if (now - known->created > settings_.hello_timeout) {
                fail(known, close_reason::timed_out);
            }
        } else if (known->expects_answers) {
            if (!known->pinged && now - known->last_received > settings_.ping_after) {
                frame ping;
                ping.mutable_ping()->set_number(1);
                append(*known, ping);
                known->pinged = true;
                known->pinged_at = now;
                write_output(known);
            } else if (known->pinged &&
                       now - known->pinged_at > settings_.silence_limit - settings_.ping_after) {
                // Counted from the ping, so that time in which this host was suspended does not
                // count before it has read what arrived meanwhile.
                fail(known, close_reason::timed_out);
            }
        } else if (!known->accepted && now - known->last_used > settings_.idle_timeout) {
            fail(known, close_reason::idle);
        }
    }
    schedule_check();
}

} // namespace lovagemoor::link
