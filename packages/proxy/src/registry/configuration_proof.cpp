#include <lovagemoor/proxy/registry/configuration_proof.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::proxy {

configuration_proof::configuration_proof(std::string prefix, std::chrono::milliseconds interval)
    : prefix_{std::move(prefix)}, interval_{interval} {}

void configuration_proof::set_interval(std::chrono::milliseconds interval) {
    interval_ = interval;
}

std::optional<configuration_proof::call> configuration_proof::next_call(core::time_point now) {
    const bool proved =
        revision_ != 0 && proved_sent_.has_value() && now < *proved_sent_ + interval_;
    if (under_way_ || proved || now < retry_at_) {
        return std::nullopt;
    }
    under_way_ = true;
    sent_ = now;
    revision_ = std::max(revision_, read_revision_);
    if (revision_ == 0) {
        return list_items{prefix_, {}, false};
    }
    return watch_items{prefix_, revision_, std::chrono::milliseconds{0}};
}

void configuration_proof::on_read(registry_revision revision) {
    read_revision_ = std::max(read_revision_, revision);
}

configuration_proof::outcome configuration_proof::on_page(core::time_point now,
                                                          const item_page& page) {
    under_way_ = false;
    if (page.status != registry_status::done || page.more) {
        on_failure(now);
        return {};
    }
    outcome result;
    for (const registry_item& item : page.items) {
        result.changes.push_back(item_change{item, false});
    }
    result.as_of = sent_;
    on_proved(page.revision);
    return result;
}

configuration_proof::outcome configuration_proof::on_changes(core::time_point now,
                                                             const item_changes& changes) {
    under_way_ = false;
    if (changes.status == registry_status::history_lost) {
        revision_ = 0;
        read_revision_ = 0;
        retry_at_ = now;
        return {};
    }
    if (changes.status != registry_status::done) {
        on_failure(now);
        return {};
    }
    on_proved(changes.revision);
    return {changes.changes, sent_};
}

void configuration_proof::on_restored(core::time_point now) {
    under_way_ = false;
    revision_ = 0;
    read_revision_ = 0;
    retry_at_ = now;
}

void configuration_proof::on_failure(core::time_point now) {
    retry_at_ = now + retry_pause;
}

void configuration_proof::on_proved(registry_revision revision) {
    revision_ = revision;
    proved_sent_ = sent_;
}

} // namespace lovagemoor::proxy
