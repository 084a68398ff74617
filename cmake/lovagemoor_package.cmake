# Warnings for the project's own code; generated code is compiled without them.
add_library(lovagemoor_warnings INTERFACE)
target_compile_options(lovagemoor_warnings INTERFACE
    -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Werror)

# lovagemoor_package(NAME [SOURCES ...] [PUBLIC ...] [PRIVATE ...])
# Defines the library lovagemoor::NAME from include/ and the given sources.
function(lovagemoor_package name)
    cmake_parse_arguments(PARSE_ARGV 1 arg "" "" "SOURCES;PUBLIC;PRIVATE")
    add_library(lovagemoor_${name} STATIC ${arg_SOURCES})
    add_library(lovagemoor::${name} ALIAS lovagemoor_${name})
    target_include_directories(lovagemoor_${name}
        PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
        PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
    target_link_libraries(lovagemoor_${name}
        PUBLIC ${arg_PUBLIC}
        PRIVATE ${arg_PRIVATE} lovagemoor_warnings)
endfunction()

# lovagemoor_test(NAME SOURCES ... LINK ...)
# Defines a Boost.Test program and registers it with CTest.
function(lovagemoor_test name)
    if(NOT LOVAGEMOOR_RPC_PEERS)
        return()
    endif()
    cmake_parse_arguments(PARSE_ARGV 1 arg "" "" "SOURCES;LINK")
    add_executable(${name} ${arg_SOURCES})
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(${name} PRIVATE
        ${arg_LINK} Boost::unit_test_framework lovagemoor_warnings)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
