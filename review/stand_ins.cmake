# Adds the review's programs to a build of the project without a change to its CMakeLists.txt: see build.sh.
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL include ${CMAKE_SOURCE_DIR}/review/programs.cmake)
