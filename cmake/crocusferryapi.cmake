# Shared helpers: every library, executable and test of the project is declared through these.

include(GNUInstallDirs)
include(CMakeParseArguments)

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE_PROGRAM}")
endif()

find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json container url)
option(CROCUS_BUILD_TESTS "Build tests, stand-ins and measuring tools" ON)
if(CROCUS_BUILD_TESTS)
  find_package(Catch2 2 REQUIRED)
  find_package(rapidcheck REQUIRED)
endif()

add_library(crocus_options INTERFACE)
# GCC 12 takes the inactive alternatives of a std::variant for uninitialised reads.
target_compile_options(crocus_options INTERFACE -Wall -Wextra -Wpedantic -Werror
  $<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>)
option(CROCUS_SANITIZE "Build with the address and undefined behaviour sanitizers" OFF)
if(CROCUS_SANITIZE)
  target_compile_options(crocus_options INTERFACE -fsanitize=address,undefined -fno-sanitize-recover=all)
  target_link_options(crocus_options INTERFACE -fsanitize=address,undefined)
endif()
target_compile_definitions(crocus_options INTERFACE
  CROCUS_VERSION="${PROJECT_VERSION}" BOOST_ASIO_NO_DEPRECATED BOOST_LEAF_CFG_DIAGNOSTICS=0 BOOST_LEAF_CFG_STD_STRING=1)
target_include_directories(crocus_options INTERFACE
  "$<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src/libs>" "$<INSTALL_INTERFACE:include/crocusferry>")
target_link_libraries(crocus_options INTERFACE Threads::Threads)

# add_crocus_library(NAME SOURCES ... [DEPENDS ...])
function(add_crocus_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} STATIC ${arg_SOURCES})
  target_link_libraries(${name} PUBLIC crocus_options ${arg_DEPENDS})
  install(TARGETS ${name} EXPORT crocusferryTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  install(DIRECTORY "${CMAKE_CURRENT_SOURCE_DIR}/" DESTINATION include/crocusferry/${name}
    FILES_MATCHING PATTERN "*.h")
endfunction()

# add_crocus_executable(NAME SOURCES ... [DEPENDS ...] [INSTALL])
function(add_crocus_executable name)
  cmake_parse_arguments(arg "INSTALL" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE crocus_options ${arg_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${PROJECT_BINARY_DIR}/bin")
  if(arg_INSTALL)
    install(TARGETS ${name} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
  endif()
endfunction()

# add_crocus_test(LIBRARY SUBJECTS ... [DEPENDS ...]): one executable a library, from tst_<subject>.cpp files.
function(add_crocus_test library)
  cmake_parse_arguments(arg "" "" "SUBJECTS;DEPENDS" ${ARGN})
  set(sources "")
  foreach(subject IN LISTS arg_SUBJECTS)
    list(APPEND sources "tst_${subject}.cpp")
  endforeach()
  set(target "tst_${library}")
  add_executable(${target} ${sources})
  target_link_libraries(${target} PRIVATE crocus_options crocus_testmain Catch2::Catch2 rapidcheck ${arg_DEPENDS})
  set_target_properties(${target} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${PROJECT_BINARY_DIR}/bin")
  foreach(subject IN LISTS arg_SUBJECTS)
    add_test(NAME ${library}.${subject} COMMAND ${target} "[${subject}]")
    set_tests_properties(${library}.${subject} PROPERTIES TIMEOUT 300)
  endforeach()
endfunction()
