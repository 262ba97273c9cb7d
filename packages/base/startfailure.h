/**
 * Says what stopped a part of the process from starting, by the name of its setting.
 *
 * Index of this file
 *   startFailure()   the error of a part that cannot start
 *   startWith()      starts a part and converts its exception
 */
#pragma once

#include <base/errors.h>

namespace QuetzalRock {

/** An Error whose message is "@p setting: @p cause" in one line. */
Error startFailure(const std::string &setting, std::string_view cause);

/** Calls @p start. @p setting is the setting and its value, such as "[listen] admin = 127.0.0.1:8081". */
template<typename Start>
void startWith(const std::string &setting, Start start)
{
    try {
        start();
    } catch (const std::exception &error) {
        throw startFailure(setting, error.what());
    }
}

} // namespace QuetzalRock
