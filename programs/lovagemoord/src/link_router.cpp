#include "link_router.hpp"

#include <utility>

namespace lovagemoor {

link_router::link_router(boost::asio::io_context& context, link::link_settings settings)
    : link_{context, std::move(settings),
            link::link_handlers{
                [this](link::channel_id channel, const core::host_id& host, bool /*accepted*/) {
                    hosts_of_channels_[channel] = host;
                },
                [this](link::channel_id channel, const link::frame& message) {
                    const auto handler = frame_handlers_.find(message.body_case());
                    if (handler != frame_handlers_.end()) {
                        handler->second(channel, message);
                    }
                },
                [this](link::channel_id channel, link::close_reason reason) {
                    const auto known = hosts_of_channels_.find(channel);
                    const std::string host =
                        known == hosts_of_channels_.end() ? "unknown" : known->second.value;
                    hosts_of_channels_.erase(channel);
                    expected_answers_.erase(channel);
                    for (auto& [id, reached] : peers_) {
                        if (reached.channel == channel) {
                            reached.channel = 0;
                        }
                    }
                    for (const auto& handler : end_handlers_) {
                        handler(host, reason);
                    }
                    for (const close_handler& handler : close_handlers_) {
                        handler(channel);
                    }
                },
                [this](link::channel_id channel, link::frame::BodyCase kind,
                       link::transfer_direction direction, std::size_t bytes) {
                    if (transfer_handler_) {
                        transfer_handler_({domain_of(channel), kind, direction, bytes});
                    }
                }}} {}

core::domain_id link_router::domain_of(link::channel_id channel) const {
    const auto host = hosts_of_channels_.find(channel);
    const auto known = host == hosts_of_channels_.end() ? peers_.end() : peers_.find(host->second);
    return known == peers_.end() ? core::domain_id{} : known->second.domain;
}

void link_router::set_peers(const std::vector<proxy::link_peer>& peers) {
    std::map<core::host_id, peer> updated;
    for (const proxy::link_peer& listed : peers) {
        const auto known = peers_.find(listed.host);
        const bool same = known != peers_.end() && known->second.address == listed.address;
        updated[listed.host] =
            peer{listed.address, listed.domain, same ? known->second.channel : 0};
    }
    peers_ = std::move(updated);
}

link::channel_id link_router::channel_to(const core::host_id& host) {
    const auto found = peers_.find(host);
    if (found == peers_.end()) {
        return 0;
    }
    if (found->second.channel == 0) {
        found->second.channel = link_.dial(found->second.address);
        hosts_of_channels_[found->second.channel] = host;
    }
    return found->second.channel;
}

void link_router::send(link::channel_id channel, const link::frame& message) {
    link_.send(channel, message);
}

void link_router::change_expected_answers(link::channel_id channel, int change) {
    int& expected = expected_answers_[channel];
    expected += change;
    link_.expect_answers(channel, expected > 0);
    if (expected <= 0) {
        expected_answers_.erase(channel);
    }
}

void link_router::flush() {
    link_.flush();
}

void link_router::on_frame(link::frame::BodyCase kind, frame_handler handler) {
    frame_handlers_[kind] = std::move(handler);
}

void link_router::on_transfer(transfer_handler handler) {
    transfer_handler_ = std::move(handler);
}

void link_router::on_closed(close_handler handler) {
    close_handlers_.push_back(std::move(handler));
}

void link_router::on_ended(
    std::function<void(const std::string& host, link::close_reason)> handler) {
    end_handlers_.push_back(std::move(handler));
}

} // namespace lovagemoor
