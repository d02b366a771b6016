# Precompiled headers shared by all libraries of the project.
add_library(jackdawshunt_pch OBJECT ${CMAKE_SOURCE_DIR}/cmake/pch.cc)
target_link_libraries(jackdawshunt_pch PUBLIC absl::status absl::statusor
  absl::strings spdlog::spdlog nlohmann_json::nlohmann_json Threads::Threads)
target_include_directories(jackdawshunt_pch PUBLIC ${CMAKE_SOURCE_DIR})
target_precompile_headers(jackdawshunt_pch PRIVATE
  <chrono> <cstdint> <functional> <map> <memory> <optional> <string>
  <string_view> <unordered_map> <utility> <variant> <vector>
  <absl/status/status.h> <absl/status/statusor.h> <nlohmann/json.hpp>)

function(jackdawshunt_configure target)
  target_include_directories(${target} PUBLIC ${CMAKE_SOURCE_DIR})
  target_link_libraries(${target} PUBLIC absl::status absl::statusor
    absl::strings spdlog::spdlog nlohmann_json::nlohmann_json Threads::Threads)
  target_precompile_headers(${target} REUSE_FROM jackdawshunt_pch)
endfunction()

# jackdawshunt_library(folder [PLUGINS] [DEPS target...])
# Builds every .cc of the folder into a static library jackdawshunt_<folder>,
# *_test.cc into <folder>_test and *_benchmark.cc into <folder>_benchmark.
# PLUGINS links the library whole, so that self-registering objects stay.
function(jackdawshunt_library folder)
  cmake_parse_arguments(ARG "PLUGINS" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc internal/*.cc)
  file(GLOB tests CONFIGURE_DEPENDS *_test.cc internal/*_test.cc)
  file(GLOB benchmarks CONFIGURE_DEPENDS *_benchmark.cc)
  if(tests)
    list(REMOVE_ITEM sources ${tests})
  endif()
  if(benchmarks)
    list(REMOVE_ITEM sources ${benchmarks})
  endif()
  set(library jackdawshunt_${folder})
  if(sources)
    add_library(${library} STATIC ${sources})
    jackdawshunt_configure(${library})
    target_link_libraries(${library} PUBLIC ${ARG_DEPS})
    set(link ${library})
    if(ARG_PLUGINS)
      set(link "$<LINK_LIBRARY:WHOLE_ARCHIVE,${library}>")
    endif()
  else()
    add_library(${library} INTERFACE)
    target_link_libraries(${library} INTERFACE ${ARG_DEPS})
    set(link ${library})
  endif()
  if(tests AND JACKDAWSHUNT_TESTS)
    add_executable(${folder}_test ${tests})
    jackdawshunt_configure(${folder}_test)
    target_link_libraries(${folder}_test PRIVATE ${link} rapidcheck
      GTest::gmock GTest::gtest_main)
    gtest_discover_tests(${folder}_test TEST_PREFIX ${folder}. DISCOVERY_TIMEOUT 60
      PROPERTIES TIMEOUT 120 ENVIRONMENT "RC_PARAMS=seed=20261203")
  endif()
  if(benchmarks AND JACKDAWSHUNT_TESTS)
    add_executable(${folder}_benchmark ${benchmarks})
    jackdawshunt_configure(${folder}_benchmark)
    target_link_libraries(${folder}_benchmark PRIVATE ${link}
      benchmark::benchmark benchmark::benchmark_main)
  endif()
endfunction()
