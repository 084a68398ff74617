#pragma once

#include <lovagemoor/link/host_link.hpp>
#include <lovagemoor/proxy/link/link_peer.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lovagemoor {

/// @brief Passes frames between the link and the parts of a session host that use it, and keeps one
/// channel to each host that they call.
class link_router {
public:
    using frame_handler = std::function<void(link::channel_id, const link::frame&)>;
    using close_handler = std::function<void(link::channel_id)>;

    /// @brief A frame that was sent to a host or came from it. The domain is empty if it is not
    /// known.
    struct transfer {
        core::domain_id domain;
        link::frame::BodyCase kind = link::frame::BODY_NOT_SET;
        link::transfer_direction direction = link::transfer_direction::sent;
        std::size_t bytes = 0;
    };

    using transfer_handler = std::function<void(const transfer&)>;

    /// @throws boost::system::system_error if the address cannot be bound.
    link_router(boost::asio::io_context& context, link::link_settings settings);

    /// @brief Replaces the known hosts.
    void set_peers(const std::vector<proxy::link_peer>& peers);

    /// @return The channel to a host, which is opened if necessary. 0 if the host is not known.
    [[nodiscard]] link::channel_id channel_to(const core::host_id& host);

    void send(link::channel_id channel, const link::frame& message);

    /// @brief Sets whether answers are outstanding on a channel that this host opened. Several
    /// parts may expect answers at the same time.
    /// @param change +1 for a further outstanding answer, -1 for one that arrived.
    void change_expected_answers(link::channel_id channel, int change);

    /// @brief Sets a function that is called with each frame that is sent or arrives.
    void on_transfer(transfer_handler handler);

    /// @return Bytes of all channels that wait to be sent.
    [[nodiscard]] std::size_t unsent_bytes() const { return link_.unsent_bytes(); }

    /// @brief Sends what send() has buffered.
    void flush();

    /// @brief Adds a receiver of a kind of frame. Each kind has one.
    void on_frame(link::frame::BodyCase kind, frame_handler handler);

    /// @brief Adds a function that is called when a channel has ended.
    void on_closed(close_handler handler);

    /// @brief Adds a function that is called with the reason of each end of a channel and the name
    /// of the other host, for logs and metrics.
    void on_ended(std::function<void(const std::string& host, link::close_reason)> handler);

private:
    struct peer {
        std::string address;
        core::domain_id domain;
        link::channel_id channel = 0;
    };

    [[nodiscard]] core::domain_id domain_of(link::channel_id channel) const;

    std::map<core::host_id, peer> peers_;
    std::map<link::channel_id, core::host_id> hosts_of_channels_;
    std::map<link::channel_id, int> expected_answers_;
    std::map<link::frame::BodyCase, frame_handler> frame_handlers_;
    std::vector<close_handler> close_handlers_;
    transfer_handler transfer_handler_;
    std::vector<std::function<void(const std::string&, link::close_reason)>> end_handlers_;
    link::host_link link_;
};

} // namespace lovagemoor
