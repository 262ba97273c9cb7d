# qr_package(NAME base SOURCES clock.cpp ... LIBS Threads::Threads ...) adds the static library qr_base.
# Its headers are included as <base/clock.h>.
function(qr_package)
    cmake_parse_arguments(ARG "" "NAME" "SOURCES;LIBS" ${ARGN})
    add_library(qr_${ARG_NAME} STATIC ${ARG_SOURCES})
    target_include_directories(qr_${ARG_NAME} PUBLIC ${CMAKE_SOURCE_DIR}/packages)
    target_link_libraries(qr_${ARG_NAME} PUBLIC ${ARG_LIBS})
endfunction()

# qr_test(NAME clocktest SOURCES tests/clocktest.cpp LIBS qr_base ...) adds a GoogleTest program and registers its tests
# with CTest. RapidCheck's seed is fixed so that runs are reproducible.
function(qr_test)
    cmake_parse_arguments(ARG "" "NAME" "SOURCES;LIBS" ${ARGN})
    if(NOT QUETZALROCK_TESTS)
        return()
    endif()
    add_executable(${ARG_NAME} ${ARG_SOURCES})
    target_link_libraries(${ARG_NAME} PRIVATE ${ARG_LIBS} rapidcheck GTest::gtest GTest::gtest_main Threads::Threads)
    gtest_discover_tests(${ARG_NAME} DISCOVERY_MODE PRE_TEST TEST_PREFIX ${ARG_NAME}.
                         PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261203")
endfunction()

# qr_bench(NAME benchjournal SOURCES journal.cpp LIBS ...) adds a benchmark program, which CTest does not run.
function(qr_bench)
    cmake_parse_arguments(ARG "" "NAME" "SOURCES;LIBS" ${ARGN})
    add_executable(${ARG_NAME} ${ARG_SOURCES})
    target_link_libraries(${ARG_NAME} PRIVATE ${ARG_LIBS} Threads::Threads)
endfunction()
