#include "link/handshake.hpp"

#include "base/digest.hpp"

namespace caraway {

namespace {

constexpr std::size_t nonce_bytes = 16;
/// Behind the nonce of the accepting side, whose length no version checks.
constexpr char takes_parts_mark = 'p';
/// Part of every proof, so that two nodes with different message formats refuse each other's links. It must
/// change with the fields or the order of any message.
constexpr std::string_view message_format = "format 6";

auto refuse(std::string message) {
    return fail({result_code::link_unauthenticated, std::move(message)});
}

} // namespace

handshake::handshake(role own_role, link_identity own_identity, std::string fleet_secret)
    : side(own_role), identity(std::move(own_identity)), secret(std::move(fleet_secret)),
      own_nonce(random_bytes(nonce_bytes)) {
    if (own_role == role::accepting) {
        this->own_nonce += takes_parts_mark;
    }
}

bool handshake::peer_takes_parts() const {
    return this->peer_nonce.size() == nonce_bytes + 1 && this->peer_nonce.back() == takes_parts_mark;
}

message handshake::hello() const {
    return hello_message{this->identity.host, this->identity.incarnation, this->own_nonce};
}

std::string handshake::proof_for(std::string_view purpose) const {
    bool const dials = this->side == role::dialling;
    auto const& dialling_nonce = dials ? this->own_nonce : this->peer_nonce;
    auto const& accepting_nonce = dials ? this->peer_nonce : this->own_nonce;
    auto const& dialling = dials ? this->identity : this->peer_identity;
    auto const& accepting = dials ? this->peer_identity : this->identity;
    std::string text(purpose);
    text += '\n';
    text += message_format;
    for (auto const& part :
         {dialling_nonce, accepting_nonce, dialling.host, std::to_string(dialling.incarnation),
          accepting.host, std::to_string(accepting.incarnation)}) {
        text += '\n' + std::to_string(part.size()) + ':' + part;
    }
    return hmac_sha256(this->secret, text);
}

result<std::optional<message>> handshake::receive(message const& received) {
    if (auto const* hello = std::get_if<hello_message>(&received);
        hello != nullptr && this->side == role::accepting && this->peer_nonce.empty()) {
        if (hello->nonce.size() != nonce_bytes || hello->host.empty()) {
            return refuse("The hello message lacks a host or a valid nonce.");
        }
        this->peer_identity = {hello->host, hello->incarnation};
        this->peer_nonce = hello->nonce;
        return message(challenge_message{this->identity.host, this->identity.incarnation, this->own_nonce,
                                         this->proof_for("accepting")});
    }
    if (auto const* challenge = std::get_if<challenge_message>(&received);
        challenge != nullptr && this->side == role::dialling && !this->done) {
        this->peer_identity = {challenge->host, challenge->incarnation};
        this->peer_nonce = challenge->nonce;
        if (!equal_in_constant_time(challenge->proof, this->proof_for("accepting"))) {
            return refuse("The accepting host does not hold the fleet secret.");
        }
        this->done = true;
        return message(proof_message{this->proof_for("dialling")});
    }
    if (auto const* proof = std::get_if<proof_message>(&received);
        proof != nullptr && this->side == role::accepting && !this->peer_nonce.empty() && !this->done) {
        if (!equal_in_constant_time(proof->proof, this->proof_for("dialling"))) {
            return refuse("The dialling host does not hold the fleet secret.");
        }
        this->done = true;
        return std::optional<message>{};
    }
    return refuse("An unexpected message arrived before the handshake was complete.");
}

} // namespace caraway
