#include <lovagemoor/proxy/registry/revision_window.hpp>

#include <algorithm>

namespace lovagemoor::proxy {

void revision_window::note(core::time_point at, registry_revision revision) {
    if (!entries_.empty() && entries_.back().at == at) {
        entries_.back().revision = std::max(entries_.back().revision, revision);
        return;
    }
    entries_.push_back({at, revision});
}

std::optional<registry_revision> revision_window::oldest(core::time_point now) {
    std::erase_if(entries_, [now](const entry& noted) { return now - noted.at > span; });
    const auto lowest = std::min_element(
        entries_.begin(), entries_.end(),
        [](const entry& left, const entry& right) { return left.revision < right.revision; });
    return lowest == entries_.end() ? std::nullopt : std::optional{lowest->revision};
}

} // namespace lovagemoor::proxy
