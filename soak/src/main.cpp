#include "soak_run.hpp"

#include <gflags/gflags.h>

#include <chrono>
#include <exception>
#include <iostream>

DEFINE_uint32(seed, 1, "Seed of the faults and of the callers.");
DEFINE_uint32(seconds, 12, "Time with faults, in seconds.");

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        lovagemoor::soak::soak_run run{FLAGS_seed, std::chrono::seconds{FLAGS_seconds}};
        const bool passed = run.execute();
        std::cout << (passed ? "passed" : "FAILED") << " seed " << FLAGS_seed << std::endl;
        return passed ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "soak: " << error.what() << "\n";
        return 2;
    }
}
