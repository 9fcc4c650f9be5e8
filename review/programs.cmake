find_package(Boost REQUIRED COMPONENTS filesystem)
# The project's own stand-in for the store and its process runner, and the review's own servers and clients.
set(review ${CMAKE_SOURCE_DIR}/review)
add_library(review_support STATIC ${review}/support/record.cpp ${review}/support/rig.cpp
            ${review}/support/target_server.cpp
            ${CMAKE_SOURCE_DIR}/standins/edge/metadata_store.cpp ${CMAKE_SOURCE_DIR}/scenarios/child_process.cpp
            ${CMAKE_SOURCE_DIR}/scenarios/ports.cpp)
target_include_directories(review_support PUBLIC ${CMAKE_SOURCE_DIR})
target_link_libraries(review_support PUBLIC briarfold_core briarfold_http briarfold_platform Boost::filesystem)
add_custom_target(review_cases)
file(GLOB cases CONFIGURE_DEPENDS ${review}/*/case.cpp)
foreach(source ${cases})
    get_filename_component(folder ${source} DIRECTORY)
    get_filename_component(number ${folder} NAME)
    add_executable(review_case_${number} ${source})
    target_link_libraries(review_case_${number} PRIVATE review_support)
    add_dependencies(review_cases review_case_${number})
endforeach()
