# Functions that define libraries, tools and unit tests with the same options.

# limpetlock_library(name DEPS target...): builds every .cpp of the current directory into limpetlock_<name>.
function(limpetlock_library name)
  cmake_parse_arguments(arg "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp generated/*.cpp)
  add_library(limpetlock_${name} STATIC ${sources})
  target_link_libraries(limpetlock_${name} PUBLIC limpetlock_options ${arg_DEPS})
  file(GLOB generated CONFIGURE_DEPENDS generated/*.cpp)
  set_source_files_properties(${generated} PROPERTIES COMPILE_OPTIONS -w)
endfunction()

# limpetlock_tool(name DEPS target...): builds every .cpp of the current directory into one executable.
function(limpetlock_tool name)
  cmake_parse_arguments(arg "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE limpetlock_options ${arg_DEPS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# limpetlock_unittest(name DEPS target...): builds every .cpp of the current directory into one Criterion executable and
# registers it with ctest as unit.<name>. The tests read golden files from the golden directory next to them;
# LIMPETLOCK_REWRITE_GOLDEN=1 in the environment rewrites these files.
function(limpetlock_unittest name)
  cmake_parse_arguments(arg "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${name}_test ${sources})
  target_link_libraries(${name}_test PRIVATE limpetlock_options ${arg_DEPS} PkgConfig::criterion)
  target_compile_definitions(${name}_test PRIVATE LIMPETLOCK_GOLDEN_DIR="${CMAKE_CURRENT_SOURCE_DIR}/golden")
  set_target_properties(${name}_test PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
  add_test(NAME unit.${name} COMMAND ${name}_test --jobs 2)
endfunction()
