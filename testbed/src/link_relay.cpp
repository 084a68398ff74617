#include <lovagemoor/testbed/link_relay.hpp>

// Boost 1.74's asio uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>

#include <array>
#include <list>
#include <thread>
#include <vector>

namespace lovagemoor::testbed {

namespace internal {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t relay_buffer_bytes = 65536;

/// A relayed connection. Both directions run on the relay's thread.
class relayed_connection : public std::enable_shared_from_this<relayed_connection> {
public:
    relayed_connection(tcp::socket incoming, std::chrono::microseconds delay)
        : source_{incoming.remote_endpoint().address().to_string()},
          incoming_{std::move(incoming)},
          outgoing_{incoming_.get_executor()},
          delay_{delay} {}

    void start(std::uint16_t destination) {
        const tcp::endpoint endpoint{asio::ip::address_v4::loopback(), destination};
        outgoing_.async_connect(
            endpoint, [self = shared_from_this()](const boost::system::error_code& error) {
                if (error) {
                    self->close();
                    return;
                }
                self->incoming_.set_option(tcp::no_delay{true});
                self->outgoing_.set_option(tcp::no_delay{true});
                self->relay(self->incoming_, self->outgoing_);
                self->relay(self->outgoing_, self->incoming_);
            });
    }

    void close() {
        boost::system::error_code ignored;
        incoming_.close(ignored);
        outgoing_.close(ignored);
    }

    [[nodiscard]] bool is_open() const { return incoming_.is_open(); }

    [[nodiscard]] const std::string& source() const { return source_; }

private:
    using buffer = std::vector<char>;

    void relay(tcp::socket& from, tcp::socket& to) {
        std::shared_ptr<buffer> data = std::make_shared<buffer>(relay_buffer_bytes);
        from.async_read_some(asio::buffer(*data),
                             [self = shared_from_this(), &from, &to,
                              data](const boost::system::error_code& error, std::size_t size) {
                                 if (error) {
                                     self->close();
                                     return;
                                 }
                                 data->resize(size);
                                 self->forward_after_delay(to, data);
                                 self->relay(from, to);
                             });
    }

    void forward_after_delay(tcp::socket& to, const std::shared_ptr<buffer>& data) {
        std::shared_ptr<asio::steady_timer> timer =
            std::make_shared<asio::steady_timer>(to.get_executor(), delay_);
        timer->async_wait(
            [self = shared_from_this(), &to, data, timer](const boost::system::error_code& error) {
                if (error || !to.is_open()) {
                    return;
                }
                boost::system::error_code failure;
                asio::write(to, asio::buffer(*data), failure);
                if (failure) {
                    self->close();
                }
            });
    }

    std::string source_;
    tcp::socket incoming_;
    tcp::socket outgoing_;
    std::chrono::microseconds delay_;
};

} // namespace internal

struct link_relay::implementation {
    explicit implementation(std::chrono::microseconds one_way_delay)
        : delay{one_way_delay},
          acceptor{context,
                   internal::tcp::endpoint{internal::asio::ip::address_v4::loopback(), 0}} {
        accept_next();
        thread = std::thread{[this] { context.run(); }};
    }

    void accept_next() {
        acceptor.async_accept(
            [this](const boost::system::error_code& error, internal::tcp::socket socket) {
                if (error) {
                    return;
                }
                accept(std::move(socket));
                accept_next();
            });
    }

    void accept(internal::tcp::socket socket) {
        boost::system::error_code error;
        socket.remote_endpoint(error);
        if (error || destination == 0) {
            return;
        }
        std::shared_ptr<internal::relayed_connection> connection =
            std::make_shared<internal::relayed_connection>(std::move(socket), delay);
        if (cut_sources.contains(connection->source())) {
            return;
        }
        connections.remove_if([](const std::shared_ptr<internal::relayed_connection>& old) {
            return !old->is_open();
        });
        connections.push_back(connection);
        connection->start(destination);
    }

    void close_cut_connections() {
        for (const std::shared_ptr<internal::relayed_connection>& connection : connections) {
            if (cut_sources.contains(connection->source())) {
                connection->close();
            }
        }
    }

    std::chrono::microseconds delay;
    internal::asio::io_context context;
    internal::tcp::acceptor acceptor;
    std::uint16_t destination = 0;
    std::set<std::string> cut_sources;
    std::list<std::shared_ptr<internal::relayed_connection>> connections;
    std::thread thread;
};

link_relay::link_relay(std::chrono::microseconds delay)
    : implementation_{std::make_unique<implementation>(delay)} {}

link_relay::~link_relay() {
    implementation_->context.stop();
    implementation_->thread.join();
}

std::uint16_t link_relay::port() const noexcept {
    return implementation_->acceptor.local_endpoint().port();
}

void link_relay::set_destination(std::uint16_t port) {
    internal::asio::post(implementation_->context,
                         [state = implementation_.get(), port] { state->destination = port; });
}

void link_relay::set_cut_sources(const std::set<std::string>& source_addresses) {
    internal::asio::post(implementation_->context,
                         [state = implementation_.get(), source_addresses] {
                             state->cut_sources = source_addresses;
                             state->close_cut_connections();
                         });
}

} // namespace lovagemoor::testbed
