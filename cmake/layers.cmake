# Compile options of all targets of this project except generated code, which is built without these warnings.
add_library(teaselpitch_options INTERFACE)
target_compile_options(teaselpitch_options INTERFACE -Wall -Wextra -Werror)
# False positive of GCC 12: it reports the frame allocator of Asio's inlined coroutines as a mismatched pair of new
# and delete.
target_compile_options(teaselpitch_options INTERFACE -Wno-mismatched-new-delete)
target_compile_definitions(teaselpitch_options INTERFACE BOOST_ASIO_NO_DEPRECATED
                                                         BOOST_MPL_LIMIT_LIST_SIZE=30
                                                         BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS)
target_include_directories(teaselpitch_options INTERFACE ${CMAKE_SOURCE_DIR})
target_link_libraries(teaselpitch_options INTERFACE Threads::Threads Boost::headers)
if(TEASELPITCH_SANITIZE)
  # False positives of GCC 12 in sanitized builds only: it reports members of boost::optional in Beast as uninitialized, and
  # a move within an empty array of Boost.JSON as out of bounds or as an overflow.
  target_compile_options(teaselpitch_options INTERFACE -fsanitize=address,undefined -fno-omit-frame-pointer
                                                       -Wno-maybe-uninitialized -Wno-array-bounds
                                                       -Wno-stringop-overflow)
  target_link_options(teaselpitch_options INTERFACE -fsanitize=address,undefined)
endif()
if(TEASELPITCH_TSAN)
  target_compile_options(teaselpitch_options INTERFACE -fsanitize=thread -fno-omit-frame-pointer)
  target_link_options(teaselpitch_options INTERFACE -fsanitize=thread)
endif()

# Adds a library of all sources in the current folder, or an interface library when there are none. Further arguments
# are the libraries it links to.
function(teaselpitch_add_library name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(sources)
    add_library(${name} STATIC ${sources})
    target_link_libraries(${name} PUBLIC teaselpitch_options ${ARGN})
  else()
    add_library(${name} INTERFACE)
    target_link_libraries(${name} INTERFACE teaselpitch_options ${ARGN})
  endif()
endfunction()

# Adds a program of all sources in the current folder. Further arguments are the libraries it links to.
function(teaselpitch_add_program name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${name} ${sources})
  target_compile_definitions(${name} PRIVATE TEASELPITCH_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${name} PRIVATE teaselpitch_options ${ARGN})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# Adds a Boost.Test program of all sources in the current folder and registers it with CTest. Does nothing when there
# are no sources. Further arguments are the libraries it links to.
function(teaselpitch_add_tests name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(NOT sources)
    return()
  endif()
  # All test programs share one object of the main function.
  if(NOT TARGET teaselpitch_test_main)
    add_library(teaselpitch_test_main OBJECT ${CMAKE_SOURCE_DIR}/tests/test_main.cpp)
    target_compile_definitions(teaselpitch_test_main PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(teaselpitch_test_main PRIVATE teaselpitch_options Boost::unit_test_framework)
  endif()
  add_executable(${name} ${sources} $<TARGET_OBJECTS:teaselpitch_test_main>)
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_include_directories(${name} SYSTEM PRIVATE ${RAPIDCHECK_INCLUDE_DIR})
  target_link_libraries(${name} PRIVATE teaselpitch_options Boost::unit_test_framework
                                        ${RAPIDCHECK_LIBRARY} ${ARGN})
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 180)
endfunction()
