/// The application object that Qt's event loops need, one for the test program.
#pragma once

#include <QCoreApplication>

namespace caraway::tests {

inline QCoreApplication& application() {
    static int count = 1;
    static char name[] = "test";
    static char* arguments[] = {name, nullptr};
    static QCoreApplication instance(count, arguments);
    return instance;
}

} // namespace caraway::tests
