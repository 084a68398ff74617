#include "experiments.hpp"
#include "load.hpp"

#include <array>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace {

namespace bench = lovagemoor::bench;

struct experiment {
    const char* name;
    void (*run)(const bench::parameters&);
};

constexpr std::array<experiment, 5> experiments{{
    {"blocking", bench::run_blocking},
    {"crest", bench::run_overload},
    {"failover", bench::run_failover},
    {"replica-reads", bench::run_replica_reads},
    {"overhead", bench::run_overhead},
}};

bench::parameters read_parameters(const std::string& path,
                                  const std::vector<std::string>& arguments) {
    std::ifstream file{path};
    if (!file) {
        throw bench::parameter_error{"cannot read " + path};
    }
    std::vector<std::string> overrides;
    for (std::size_t index = 0; index < arguments.size(); index += 2) {
        if (arguments[index] != "--set" || index + 1 == arguments.size()) {
            throw bench::parameter_error{"expected --set key=value, got " + arguments[index]};
        }
        overrides.push_back(arguments[index + 1]);
    }
    return bench::parameters{file, overrides};
}

/// Prints the load average of the last minute, because other load on the machine affects the
/// results. getloadavg reads the averages of 1, 5 and 15 minutes.
void print_machine_load(const std::string& key) {
    std::array<double, 3> averages{};
    if (getloadavg(averages.data(), static_cast<int>(averages.size())) > 0) {
        bench::print_value(key, averages.front());
    }
}

void run(const std::string& path, const std::vector<std::string>& arguments) {
    const std::string name = std::filesystem::path{path}.stem().string();
    const bench::parameters values = read_parameters(path, arguments);
    for (const experiment& item : experiments) {
        if (name == item.name) {
            bench::print_value("experiment", name);
            values.print(std::cout);
            print_machine_load("load_average_before");
            item.run(values);
            print_machine_load("load_average_after");
            return;
        }
    }
    throw bench::parameter_error{"unknown experiment " + name};
}

} // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> arguments{argv, argv + argc};
    if (arguments.size() < 2) {
        std::cerr << "usage: lovagemoor_bench FILE.ini [--set key=value ...]\n";
        return 2;
    }
    try {
        run(arguments[1], {arguments.begin() + 2, arguments.end()});
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "error=" << error.what() << "\n";
        return 1;
    }
}
