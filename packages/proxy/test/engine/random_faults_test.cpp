#include "fake_cluster.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;
using testing::fake_cluster;
using kind = statement_kind;

/// Number of callers and steps per run.
constexpr int callers = 6;
constexpr int steps = 400;

/// @brief Runs random statements, target faults and promotions.
class fault_run {
public:
    explicit fault_run(std::uint32_t seed) : cluster_{seed} {
        cluster_.start_reference();
        cluster_.run_for(300ms);
        const char* const databases[] = {"latest", "bounded", "own"};
        for (int index = 0; index < callers; ++index) {
            sessions_.push_back(cluster_.open(databases[index % 3]));
        }
    }

    const fake_cluster& play() {
        for (int step = 0; step < steps; ++step) {
            if (chance(8)) {
                fault();
            } else {
                act(sessions_[draw(callers)]);
            }
            cluster_.run_for(core::duration{static_cast<int>(draw(60'000))});
        }
        cluster_.run_for(5s);
        return cluster_;
    }

private:
    std::size_t draw(std::size_t below) {
        return std::uniform_int_distribution<std::size_t>{0, below - 1}(cluster_.random());
    }

    bool chance(std::size_t percent) { return draw(100) < percent; }

    void act(session_id sender) {
        if (!cluster_.is_idle(sender)) {
            return;
        }
        const bool in_transaction = cluster_.in_transaction(sender);
        if (!in_transaction && chance(25)) {
            cluster_.send(sender, kind::begin, {}, {}, chance(30));
        } else if (in_transaction && chance(35)) {
            cluster_.send(sender, chance(75) ? kind::commit : kind::rollback);
        } else if (in_transaction && chance(10)) {
            cluster_.send(sender, kind::rollback);
        } else if (!in_transaction && chance(10)) {
            cluster_.set_value(sender, "v" + std::to_string(draw(2)), std::to_string(draw(3)));
        } else {
            cluster_.send(sender, chance(40) ? kind::write : kind::read,
                          "item" + std::to_string(draw(5)));
        }
    }

    void fault() {
        const core::target_id id{"t" + std::to_string(draw(3))};
        fake_cluster::target& target = cluster_.targets.at(id);
        switch (draw(6)) {
        case 0:
            cluster_.disconnect(id);
            break;
        case 1:
            target.lost_answers = static_cast<unsigned>(draw(3));
            break;
        case 2:
            target.reachable = !target.reachable;
            break;
        case 3:
            target.lag = core::duration{static_cast<int>(draw(3'000'000))};
            break;
        case 4:
            target.busy = !target.busy;
            break;
        default:
            cluster_.promote(id);
            break;
        }
    }

    fake_cluster cluster_;
    std::vector<session_id> sessions_;
};

std::vector<std::uint32_t> seeds() {
    std::vector<std::uint32_t> all(150);
    for (std::uint32_t index = 0; index < all.size(); ++index) {
        all[index] = index + 1;
    }
    return all;
}

} // namespace

// Checks the guarantees to callers under random statements, lost answers, unreachable and lagging
// targets, full slots and promotions: no stale read, no duplicate write, no refusal of a statement
// that ran, no statement outside of its transaction or with the values of another session.
BOOST_DATA_TEST_CASE(guarantees_hold_under_random_faults, boost::unit_test::data::make(seeds()),
                     seed) {
    fault_run run{seed};
    const std::vector<std::string>& violations = run.play().violations();
    BOOST_TEST(violations.empty(),
               "seed " << seed << ": " << (violations.empty() ? "" : violations.front()));
}

} // namespace lovagemoor::proxy
