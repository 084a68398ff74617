#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace lovagemoor::review {

using clock = std::chrono::steady_clock;

/// @brief Writes what was sent, answered and run, one line for each event, with its time in
/// milliseconds since the start.
class record {
public:
    explicit record(const std::string& path) : file_{path, std::ios::trunc} {}

    void add(const std::string& source, const std::string& text) {
        const std::lock_guard<std::mutex> lock{mutex_};
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - started_);
        file_ << elapsed.count() << " ms " << source << ": " << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    clock::time_point started_ = clock::now();
};

} // namespace lovagemoor::review
