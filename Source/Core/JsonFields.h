// Maps value types to and from JSON. A type lists its fields once, in a static
// describe(Self, Field); encoding and decoding both use that list.

#ifndef MIMOSASHUNT_CORE_JSONFIELDS_H
#define MIMOSASHUNT_CORE_JSONFIELDS_H

#include <cmath>
#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace mimosashunt {

using Json = nlohmann::json;

/// Returns the text of \p Value on one line. Bytes that are no UTF-8, which
/// names and texts from outside may hold, are replaced by U+FFFD; dump() would
/// throw.
inline std::string toText(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Reads CBOR from outside into a tree. Throws an exception derived from
/// std::exception if \p Bytes hold anything else than one value, or one that is
/// nested more deeply than any message of the system; from_cbor() alone would
/// overflow the stack.
Json readCbor(const std::string &Bytes);

/// Writes each described field into a JSON object under its key.
struct FieldWriter {
  Json &Out;
  template <class T> void operator()(const char *Key, const T &Value) const {
    Out[Key] = Value;
  }
  /// A list that is left out while it is empty.
  template <class T> void list(const char *Key, const T &Value) const {
    if (!Value.empty())
      Out[Key] = Value;
  }
  /// A number that is left out while it is zero.
  template <class T> void number(const char *Key, T Value) const {
    if (Value != 0)
      Out[Key] = Value;
  }
  /// A boolean that is left out while it is false.
  void flag(const char *Key, bool Value) const {
    if (Value)
      Out[Key] = true;
  }
};

/// Reads one value. Throws an exception derived from std::exception if it has
/// the wrong type.
template <class T> void readJson(const Json &In, T &Value) { In.get_to(Value); }

/// As above, for whole numbers, which get() would truncate. Throws
/// std::out_of_range if the number does not fit into \p Value.
template <class T>
requires std::is_integral_v<T>
void readJson(const Json &In, T &Value) {
  constexpr double MaxExactDouble = 9e15;
  auto Assign = [&Value](auto Number) {
    if (!std::in_range<T>(Number))
      throw std::out_of_range("a number is out of its field's range");
    Value = static_cast<T>(Number);
  };
  double Floating = In.is_number_float() ? In.get<double>() : 0;
  if (In.is_number_unsigned())
    Assign(In.get<uint64_t>());
  else if (In.is_number_integer())
    Assign(In.get<int64_t>());
  else if (In.is_number_float() && std::abs(Floating) < MaxExactDouble &&
           std::trunc(Floating) == Floating)
    Assign(static_cast<int64_t>(Floating));
  else
    throw std::out_of_range("a field is no whole number");
}

inline void readJson(const Json &In, bool &Value) { In.get_to(Value); }

template <class T>
requires std::is_enum_v<T>
void readJson(const Json &In, T &Value) {
  std::underlying_type_t<T> Number;
  readJson(In, Number);
  Value = static_cast<T>(Number);
}

template <class T> void readJson(const Json &In, std::vector<T> &Value);
template <class T> void readJson(const Json &In, std::set<T> &Value);
template <class T>
void readJson(const Json &In, std::map<std::string, T> &Value);

template <class T> void readJson(const Json &In, std::vector<T> &Value) {
  Value.clear();
  for (const Json &Item : In.get_ref<const Json::array_t &>())
    readJson(Item, Value.emplace_back());
}

template <class T> void readJson(const Json &In, std::set<T> &Value) {
  Value.clear();
  for (const Json &Item : In.get_ref<const Json::array_t &>()) {
    T Element{};
    readJson(Item, Element);
    Value.insert(std::move(Element));
  }
}

template <class T>
void readJson(const Json &In, std::map<std::string, T> &Value) {
  Value.clear();
  for (const auto &[Key, Item] : In.get_ref<const Json::object_t &>())
    readJson(Item, Value[Key]);
}

/// Reads each described field from a JSON object. Throws an exception derived
/// from std::exception if a field is missing, has the wrong type or is out of
/// range; the decoders of messages and stored data catch it.
struct FieldReader {
  const Json &In;
  template <class T> void operator()(const char *Key, T &Value) const {
    readJson(In.at(Key), Value);
  }
  template <class T> void list(const char *Key, T &Value) const {
    if (In.contains(Key))
      readJson(In.at(Key), Value);
  }
  template <class T> void number(const char *Key, T &Value) const {
    Value = 0;
    if (In.contains(Key))
      readJson(In.at(Key), Value);
  }
  void flag(const char *Key, bool &Value) const {
    Value = In.value(Key, false);
  }
};

/// A type that lists its JSON fields in a static describe().
template <class T>
concept Described = requires(T &Value, const Json &In) {
  T::describe(Value, FieldReader{In});
};

template <Described T> void to_json(Json &Out, const T &Value) {
  Out = Json::object();
  T::describe(Value, FieldWriter{Out});
}

template <Described T> void from_json(const Json &In, T &Value) {
  T::describe(Value, FieldReader{In});
}

/// Encodes a variant of described types as the JSON object of the alternative
/// it holds, with that type's Kind added as field "kind".
template <class... Ts> Json kindToJson(const std::variant<Ts...> &Value) {
  return std::visit(
      [](const auto &Held) {
        Json Out = Held;
        Out["kind"] = std::decay_t<decltype(Held)>::Kind;
        return Out;
      },
      Value);
}

/// Decodes what kindToJson() encoded. Throws std::invalid_argument on an
/// unknown kind, and as FieldReader does on missing or ill-typed fields.
template <class Variant, size_t I = 0> Variant kindFromJson(const Json &In) {
  if constexpr (I < std::variant_size_v<Variant>) {
    using Held = std::variant_alternative_t<I, Variant>;
    if (In.at("kind").get<std::string>() == Held::Kind)
      return In.get<Held>();
    return kindFromJson<Variant, I + 1>(In);
  } else {
    throw std::invalid_argument("unknown kind");
  }
}

} // namespace mimosashunt

#endif
