#include "platform_server.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <limits>

DEFINE_uint32(port, 0, "Port on 127.0.0.1; 0 selects a free port.");
DEFINE_uint64(history_limit, lovagemoor::standin_platform::platform_server::default_history_limit,
              "Number of events that are kept for watches that start in the past.");

int main(int argc, char** argv) {
    gflags::SetUsageMessage("Stand-in for the platform's key-value service. Prints port=N on "
                            "stdout when it is ready and runs until SIGTERM or SIGINT.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_port > std::numeric_limits<std::uint16_t>::max()) {
        std::cerr << "event=invalid_flag name=port value=" << FLAGS_port << '\n';
        return EXIT_FAILURE;
    }

    // The signals are blocked before the first thread starts, so that all threads inherit the mask
    // and only sigwait receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    const lovagemoor::standin_platform::platform_server server(
        static_cast<std::uint16_t>(FLAGS_port), FLAGS_history_limit);
    if (server.port() == 0) {
        std::cerr << "event=listen_failed port=" << FLAGS_port << '\n';
        return EXIT_FAILURE;
    }
    std::cout << "port=" << server.port() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return EXIT_SUCCESS;
}
