/// The corpus of the codec's fuzzing: every inner message with every field set.
#pragma once

#include <json/value.h>

#include <functional>
#include <string>
#include <vector>

#include "protocol/codec.h"

namespace quetzalvale {

/// Sets every field of a message, one element in every list.
struct FillVisitor {
  int next = 1;

  template <typename T>
  void operator()(const char* /*name*/, T& field) {
    this->Fill(field);
  }

  template <typename T>
  void Fill(T& field) {
    const int number = this->next++;
    if constexpr (std::is_same_v<T, Incarnation>) {
      field = {static_cast<std::uint64_t>(number), 7};
    } else if constexpr (std::is_same_v<T, Ticket>) {
      field = {"shop", {1, 2}, static_cast<std::uint64_t>(number), 3};
    } else if constexpr (std::is_same_v<T, TaskKey>) {
      field = {{"shop", {1, 2}, 9, 3}, static_cast<std::uint32_t>(number)};
    } else if constexpr (std::is_same_v<T, std::string>) {
      field = "text-" + std::to_string(number) + " \u00e9\n";
    } else if constexpr (std::is_same_v<T, bool>) {
      field = true;
    } else if constexpr (std::is_enum_v<T>) {
      field = static_cast<T>(1);
    } else if constexpr (codec_detail::IsDuration<T>::value || std::is_arithmetic_v<T>) {
      field = T(number);
    } else {
      VisitFields(*this, field);
    }
  }

  template <typename T>
  void Fill(std::optional<T>& field) {
    this->Fill(field.emplace());
  }

  template <typename T>
  void Fill(std::vector<T>& field) {
    this->Fill(field.emplace_back());
  }

  template <typename Key, typename T>
  void Fill(std::map<Key, T>& field) {
    Key key;
    if constexpr (std::is_same_v<Key, std::string>) {
      key = "shop";
    } else {
      key = {"shop", "desk"};
    }
    this->Fill(field[key]);
  }
};

/// One kind of message: its valid form, and decoding followed by encoding. `recode` throws what
/// Decode throws.
struct MessageKind {
  std::string name;
  Json::Value valid;
  std::function<Json::Value(const Json::Value&)> recode;
};

template <typename Message>
MessageKind MakeMessageKind(const std::string& name) {
  Message message;
  FillVisitor fill;
  VisitFields(fill, message);
  return {name, Encode(message),
          [](const Json::Value& json) { return Encode(Decode<Message>(json)); }};
}

inline std::vector<MessageKind> AllMessageKinds() {
  return {MakeMessageKind<StartRequest>("start"),
          MakeMessageKind<StartReply>("start reply"),
          MakeMessageKind<WithdrawRequest>("withdraw"),
          MakeMessageKind<WithdrawReply>("withdraw reply"),
          MakeMessageKind<SealRequest>("seal"),
          MakeMessageKind<SealReply>("seal reply"),
          MakeMessageKind<OutcomesRequest>("outcomes"),
          MakeMessageKind<OutcomesReply>("outcomes reply"),
          MakeMessageKind<Announce>("announce"),
          MakeMessageKind<AnnounceReply>("announce reply"),
          MakeMessageKind<Hello>("hello"),
          MakeMessageKind<ForwardRequest>("forward"),
          MakeMessageKind<ForwardReply>("forward reply"),
          MakeMessageKind<AnswerRequest>("answer"),
          MakeMessageKind<CancelRequest>("cancel"),
          MakeMessageKind<CancelledJobs>("cancelled_jobs"),
          MakeMessageKind<HandOver>("hand_over"),
          MakeMessageKind<Acknowledgement>("acknowledgement")};
}

}  // namespace quetzalvale
