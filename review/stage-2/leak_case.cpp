#include "stage.hpp"

#include <algorithm>
#include <exception>
#include <iostream>
#include <random>

/// @file
/// @brief Case 7: a primary loses the answers to some statements for a few seconds, and some
/// clients give up before the time-out of their route. The hosts never use the connections of these
/// statements again, and serve no further statement at that primary.

namespace {

using namespace lovagemoor;
using namespace std::chrono_literals;
using review::clock;

constexpr std::size_t clients = 300;
constexpr std::chrono::milliseconds operation_interval{1250};
constexpr std::chrono::milliseconds deadline{1200};
/// Every other client gives up after this time, and closes its session.
constexpr std::chrono::milliseconds patience{500};
constexpr unsigned most_attempts = 3;
constexpr std::chrono::milliseconds retry_pause{20};
constexpr std::chrono::seconds calm_time{4};
/// Length of a disruption, and the share of the answers that are lost.
constexpr std::chrono::seconds trouble_time{4};
constexpr unsigned periods = 4;
constexpr std::chrono::seconds pause_time{1};
constexpr std::chrono::seconds later_time{45};
constexpr double lost_share = 0.2;
/// The bound of the rule.
constexpr double most_failed = 0.6;

struct operation_counts {
    std::atomic<unsigned> owed{0};
    std::atomic<unsigned> served{0};
    /// Operations whose client gave up early. They are not owed.
    std::atomic<unsigned> given_up{0};
};

enum class phase : std::uint8_t { calm, trouble, later };

/// @brief A client that reads an item on the primary route at a fixed rate.
class reading_client {
public:
    reading_client(const review::deployment& hosts, std::size_t number)
        : hosts_{hosts}, number_{number}, host_{number % hosts.settings().hosts} {}

    void operate(operation_counts& counts) {
        const clock::time_point end = clock::now() + (impatient() ? patience : deadline);
        for (unsigned attempt = 0; attempt < most_attempts && left(end) > 0ms; ++attempt) {
            if (!open_) {
                open_ = session_.open(hosts_.caller_port(host_), "orders", left(end));
            }
            if (open_) {
                std::string id{"c"};
                id.append(std::to_string(number_)).append(".").append(std::to_string(++last_));
                const review::client_session::answer answer =
                    session_.run(id, "READ kit-1", left(end));
                if (answer.succeeded()) {
                    ++counts.owed;
                    ++counts.served;
                    return;
                }
                last_failure_ = answer.text();
            }
            // A retry reaches another host.
            session_.close();
            open_ = false;
            host_ = (host_ + 1) % hosts_.settings().hosts;
            std::this_thread::sleep_for(std::min(retry_pause, std::max(left(end), 0ms)));
        }
        const bool gave_up = impatient() && left(end) <= 0ms;
        counts.given_up += gave_up ? 1U : 0U;
        counts.owed += gave_up ? 0U : 1U;
    }

    [[nodiscard]] const std::string& last_failure() const noexcept { return last_failure_; }

private:
    [[nodiscard]] bool impatient() const noexcept { return number_ % 2 == 1; }

    static std::chrono::milliseconds left(clock::time_point end) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(end - clock::now());
    }

    const review::deployment& hosts_;
    std::size_t number_;
    std::size_t host_;
    review::client_session session_;
    bool open_ = false;
    unsigned last_ = 0;
    std::string last_failure_;
};

using phase_counts = std::array<operation_counts, 3>;

/// @brief Clients on threads of their own, which operate until the object is destroyed.
class client_crowd {
public:
    client_crowd(const review::deployment& hosts, phase_counts& counts,
                 const std::atomic<phase>& now)
        : counts_{counts}, now_{now} {
        for (std::size_t number = 0; number < clients; ++number) {
            threads_.emplace_back([this, &hosts, number] { run(hosts, number); });
        }
    }

    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;
    client_crowd(client_crowd&&) = delete;
    client_crowd& operator=(client_crowd&&) = delete;

    ~client_crowd() {
        stopped_ = true;
        for (std::thread& thread : threads_) {
            thread.join();
        }
    }

private:
    void run(const review::deployment& hosts, std::size_t number) {
        reading_client client{hosts, number};
        std::this_thread::sleep_for(operation_interval * number / clients);
        while (!stopped_) {
            const clock::time_point next = clock::now() + operation_interval;
            client.operate(counts_.at(static_cast<std::size_t>(now_.load())));
            std::this_thread::sleep_until(next);
        }
    }

    phase_counts& counts_;
    const std::atomic<phase>& now_;
    std::atomic<bool> stopped_{false};
    std::vector<std::thread> threads_;
};

void note_state(review::deployment& hosts, review::run_record& record, const phase_counts& counts,
                const std::string& when) {
    hosts.perform([&](const review::database_group& databases) {
        std::string text = when + ": operations owed";
        for (const operation_counts& counted : counts) {
            text.append(" ").append(std::to_string(counted.owed)).append(", served ");
            text.append(std::to_string(counted.served)).append(";");
        }
        text.append(" connections at the databases");
        for (std::size_t index = 0; index < review::database_group::size; ++index) {
            text.append(" ").append(std::to_string(databases.connections(index)));
        }
        record.note(text + "; the primary is i-" + std::to_string(databases.primary()));
    });
}

bool judge(review::deployment& hosts, review::run_record& record, const phase_counts& counts) {
    static const std::array<const char*, 3> names{"calm", "trouble", "later"};
    unsigned owed = 0;
    unsigned served = 0;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        const operation_counts& counted = counts.at(index);
        record.note(std::string{names.at(index)} + ": " + std::to_string(counted.owed) +
                    " operations owed, " + std::to_string(counted.served) + " served; " +
                    std::to_string(counted.given_up) + " given up early");
        owed += counted.owed;
        served += counted.served;
    }
    for (std::size_t host = 0; host < hosts.settings().hosts; ++host) {
        record.note("host-" + std::to_string(host) +
                    (hosts.ready(host) ? " reports itself ready" : " is not ready"));
    }
    const double failed = 1.0 - static_cast<double>(served) / std::max(owed, 1U);
    record.note("refused and failed: " + std::to_string(failed) + " of the operations owed");
    return failed > most_failed;
}

int run_case(const std::string& host_program, const std::string& record_path) {
    review::run_record record{record_path};
    std::atomic<phase> now{phase::calm};
    std::atomic<bool> loses_answers{false};
    std::mt19937 random{static_cast<unsigned>(review::number_from_environment("SEED", 1))};
    std::bernoulli_distribution loses{lost_share};
    review::deployment hosts{
        host_program, {}, record, {.on_run = {}, .loses_answer = [&](const auto& run) {
                                       const bool lost =
                                           loses_answers && run.database == 0 && loses(random);
                                       if (lost) {
                                           record.note("i-0 runs " + run.id + " (" + run.text +
                                                       "); its answer is lost");
                                       }
                                       return lost;
                                   }}};
    for (std::size_t host = 0; host < hosts.settings().hosts; ++host) {
        if (!hosts.wait_until_ready(host, 20s)) {
            record.note("host-" + std::to_string(host) + " did not start");
            return 2;
        }
    }
    std::this_thread::sleep_for(2s);
    phase_counts counts;
    {
        const client_crowd crowd{hosts, counts, now};
        std::this_thread::sleep_for(calm_time);
        note_state(hosts, record, counts, "before the trouble");
        now = phase::trouble;
        for (unsigned period = 0; period < periods; ++period) {
            loses_answers = review::with_trouble();
            std::this_thread::sleep_for(trouble_time);
            loses_answers = false;
            note_state(hosts, record, counts, "after a period with lost answers");
            std::this_thread::sleep_for(pause_time);
        }
        now = phase::later;
        for (std::chrono::seconds passed{0}; passed < later_time; passed += 5s) {
            std::this_thread::sleep_for(5s);
            note_state(hosts, record, counts, "no answer is lost any more");
        }
    }
    return judge(hosts, record, counts) ? 1 : 0;
}

} // namespace

int main(int argument_count, char** arguments) {
    if (argument_count != 3) {
        return 2;
    }
    try {
        return run_case(arguments[1], arguments[2]);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
