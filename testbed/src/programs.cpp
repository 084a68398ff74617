#include <lovagemoor/testbed/programs.hpp>

namespace lovagemoor::testbed {

const char* host_program() noexcept {
    return LOVAGEMOOR_HOST_PROGRAM;
}

const char* operator_program() noexcept {
    return LOVAGEMOOR_OPERATOR_PROGRAM;
}

const char* platform_program() noexcept {
    return LOVAGEMOOR_PLATFORM_PROGRAM;
}

const char* target_program() noexcept {
    return LOVAGEMOOR_TARGET_PROGRAM;
}

} // namespace lovagemoor::testbed
