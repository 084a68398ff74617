#include <lovagemoor/proxy/registry/lease_keeper.hpp>

#include <utility>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// Number of renewals within the duration of a lease. Two of them may fail.
constexpr int renewals_per_lease = 3;

/// Delay after a failed call.
constexpr core::duration retry_pause = std::chrono::milliseconds{500};

} // namespace

} // namespace internal

lease_keeper::lease_keeper(std::string key, std::string value, std::chrono::milliseconds duration)
    : items_{{std::move(key), std::move(value)}}, duration_{duration} {}

void lease_keeper::add_item(std::string key, std::string value) {
    items_.push_back({std::move(key), std::move(value)});
}

write_items lease_keeper::write_of_items() const {
    write_items result;
    for (const kept_item& item : items_) {
        result.writes.push_back(item_write{item.key, item.value, lease_});
    }
    return result;
}

std::optional<lease_keeper::call> lease_keeper::next_call(core::time_point now) {
    if (under_way_ || now < due_) {
        return std::nullopt;
    }
    under_way_ = true;
    switch (stage_) {
    case stage::no_lease:
        return grant_lease{duration_};
    case stage::not_written:
        return write_of_items();
    case stage::kept:
        break;
    }
    return renew_lease{lease_};
}

bool lease_keeper::succeeded(core::time_point now, registry_status status) {
    under_way_ = false;
    if (status == registry_status::lease_ended) {
        stage_ = stage::no_lease;
        due_ = now;
    } else if (status != registry_status::done) {
        due_ = now + internal::retry_pause;
    }
    return status == registry_status::done;
}

void lease_keeper::on_lease(core::time_point now, const lease_outcome& outcome) {
    if (!succeeded(now, outcome.status)) {
        return;
    }
    if (stage_ == stage::no_lease) {
        stage_ = stage::not_written;
        lease_ = outcome.lease;
        due_ = now;
    } else {
        due_ = now + duration_ / internal::renewals_per_lease;
    }
}

void lease_keeper::on_written(core::time_point now, const write_outcome& outcome) {
    if (succeeded(now, outcome.status)) {
        stage_ = stage::kept;
        due_ = now + duration_ / internal::renewals_per_lease;
    }
}

void lease_keeper::on_lost(core::time_point now) {
    if (stage_ == stage::kept) {
        stage_ = stage::not_written;
        due_ = now;
    }
}

void lease_keeper::on_restored(core::time_point now, core::duration delay) {
    stage_ = stage::no_lease;
    lease_ = 0;
    under_way_ = false;
    due_ = now + delay;
}

} // namespace lovagemoor::proxy
