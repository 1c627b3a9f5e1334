#include "node/lifecycle.hpp"

#include "lifecycle_text.hpp"

#include <QBuffer>
#include <QScxmlStateMachine>

namespace caraway {

lifecycle::lifecycle() = default;

lifecycle::~lifecycle() = default;

result<std::unique_ptr<lifecycle>> lifecycle::create(std::function<void(std::string const&)> entered) {
    QBuffer text;
    text.setData(lifecycle_text.data(), static_cast<int>(lifecycle_text.size()));
    text.open(QIODevice::ReadOnly);
    std::unique_ptr<lifecycle> made(new lifecycle);
    made->machine.reset(QScxmlStateMachine::fromData(&text, "lifecycle.scxml"));
    if (made->machine == nullptr || !made->machine->parseErrors().isEmpty()) {
        return fail({result_code::io_failed, "The state chart lifecycle.scxml can't be read."});
    }
    for (auto const& name : made->machine->stateNames(false)) {
        made->machine->connectToState(name, made->machine.get(), [entered, name](bool active) {
            if (active) {
                entered(name.toStdString());
            }
        });
    }
    return made;
}

void lifecycle::start() {
    this->machine->start();
}

void lifecycle::raise(std::string const& event) {
    this->machine->submitEvent(QString::fromStdString(event));
}

} // namespace caraway
