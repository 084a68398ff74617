#include "fault_link.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace lovagemoor::soak {

using boost::asio::ip::tcp;

namespace internal {

namespace {

/// Interval between checks whether a direction whose bytes are held may deliver them again.
constexpr std::chrono::milliseconds hold_check_interval{20};

} // namespace

} // namespace internal

/// @brief One relayed connection. Each direction delivers one buffer before it reads the next.
class fault_link::relayed_connection
    : public std::enable_shared_from_this<fault_link::relayed_connection> {
public:
    relayed_connection(boost::asio::io_context& context, tcp::socket incoming,
                       std::shared_ptr<const link_fault> fault)
        : fault_{std::move(fault)},
          forward_{std::move(incoming), boost::asio::steady_timer{context}, {}},
          backward_{tcp::socket{context}, boost::asio::steady_timer{context}, {}} {}

    void start(std::uint16_t destination) {
        backward_.socket.async_connect(
            {boost::asio::ip::make_address("127.0.0.1"), destination},
            [self = shared_from_this()](const boost::system::error_code& error) {
                if (error) {
                    self->reset();
                    return;
                }
                boost::system::error_code ignored;
                self->forward_.socket.set_option(tcp::no_delay{true}, ignored);
                self->backward_.socket.set_option(tcp::no_delay{true}, ignored);
                self->read(self->forward_, self->backward_);
                self->read(self->backward_, self->forward_);
            });
    }

    void reset() {
        for (direction* const source : {&forward_, &backward_}) {
            boost::system::error_code ignored;
            source->socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
            source->socket.close(ignored);
        }
    }

private:
    struct direction {
        tcp::socket socket;
        boost::asio::steady_timer timer;
        std::array<char, 65536> buffer;
    };

    void read(direction& source, direction& opposite) {
        source.socket.async_read_some(
            boost::asio::buffer(source.buffer),
            [self = shared_from_this(), &source, &opposite](const boost::system::error_code& error,
                                                            std::size_t size) {
                if (error) {
                    self->reset();
                    return;
                }
                self->deliver(source, opposite, size, self->fault_->delay);
            });
    }

    void deliver(direction& source, direction& opposite, std::size_t size,
                 std::chrono::milliseconds delay) {
        source.timer.expires_after(delay);
        source.timer.async_wait([self = shared_from_this(), &source, &opposite,
                                 size](const boost::system::error_code& error) {
            if (error) {
                return;
            }
            const bool held = &source == &self->forward_ ? self->fault_->holds_forward
                                                         : self->fault_->holds_backward;
            if (held) {
                self->deliver(source, opposite, size, internal::hold_check_interval);
                return;
            }
            boost::asio::async_write(
                opposite.socket, boost::asio::buffer(source.buffer.data(), size),
                [self, &source, &opposite](const boost::system::error_code& failure, std::size_t) {
                    if (failure) {
                        self->reset();
                    } else {
                        self->read(source, opposite);
                    }
                });
        });
    }

    std::shared_ptr<const link_fault> fault_;
    direction forward_;
    direction backward_;
};

fault_link::fault_link(boost::asio::io_context& context, std::uint16_t destination)
    : context_{context},
      acceptor_{context, {boost::asio::ip::make_address("127.0.0.1"), 0}},
      destination_{destination},
      fault_{std::make_shared<link_fault>()} {
    accept();
}

std::string fault_link::address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void fault_link::apply(const link_fault& fault) {
    *fault_ = fault;
}

void fault_link::reset() {
    for (const std::weak_ptr<relayed_connection>& connection : std::exchange(connections_, {})) {
        if (const std::shared_ptr<relayed_connection> open = connection.lock()) {
            open->reset();
        }
    }
}

void fault_link::accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (error) {
            return;
        }
        const auto connection =
            std::make_shared<relayed_connection>(context_, std::move(socket), fault_);
        if (fault_->resets_new_connections) {
            connection->reset();
        } else {
            connection->start(destination_);
            connections_.push_back(connection);
        }
        accept();
    });
}

} // namespace lovagemoor::soak
