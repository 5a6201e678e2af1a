#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Body of POST /v1/cancel."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct CancelRequest {
    #[doc = "Displayed attempt identity."]
    pub attempt: ::std::string::String,
}
#[doc = "Text of a chunk."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChunkChoice {
    #[doc = "Why generation ended; on the final chunk only."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<::std::string::String>,
    #[doc = "Always 0."]
    pub index: u32,
    #[doc = "Text of the tokens."]
    pub text: ::std::string::String,
}
#[doc = "Data of one server-sent event of a completion stream."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct CompletionChunk {
    #[doc = "Exactly one choice."]
    pub choices: ::std::vec::Vec<ChunkChoice>,
    #[doc = "Displayed attempt identity."]
    pub id: ::std::string::String,
    #[doc = "Always text_completion."]
    pub object: ::std::string::String,
    #[doc = "Number of tokens in the chunk."]
    pub token_count: u32,
    #[doc = "Index of the first token of the chunk."]
    pub token_index: u32,
}
#[doc = "Body of POST /v1/completions."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct CompletionRequest {
    #[doc = "Adapter to apply."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::std::string::String>,
    #[doc = "Displayed attempt identity."]
    pub attempt: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub kv_transfer_params: ::std::option::Option<KvTransferParams>,
    #[doc = "Greatest number of tokens to generate."]
    pub max_tokens: u32,
    #[doc = "Model."]
    pub model: ::std::string::String,
    #[doc = "Priority, 0 is the most urgent."]
    pub priority: u8,
    #[doc = "Prompt text."]
    pub prompt: ::std::string::String,
    #[doc = "True for generation, false for prefill."]
    pub stream: bool,
}
#[doc = "Messages between a daemon and a model engine, see docs/ENDPOINTS.md."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(transparent)]
pub struct EndpointMessages(pub ::serde_json::Value);
impl ::std::ops::Deref for EndpointMessages {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<EndpointMessages> for ::serde_json::Value {
    fn from(value: EndpointMessages) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for EndpointMessages {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "Handover of a KV cache; the answer of a prefill is passed to the decode unchanged."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct KvTransferParams {
    #[doc = "Tokens found in the prefix cache."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub cached_tokens: ::std::option::Option<u32>,
    #[doc = "Asks to keep the KV cache for export."]
    pub do_remote_decode: bool,
    #[doc = "Asks to import the KV cache named below."]
    pub do_remote_prefill: bool,
    #[doc = "Time until eviction in milliseconds."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub expires_ms: ::std::option::Option<u64>,
    #[doc = "Address of the engine that holds the cache, ip:port."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub remote_address: ::std::option::Option<::std::string::String>,
    #[doc = "Name of the cache at that engine."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub remote_handle: ::std::option::Option<::std::string::String>,
    #[doc = "Tokens that the cache covers."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub remote_tokens: ::std::option::Option<u32>,
}
#[doc = "Answer to a completion request with do_remote_decode."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct PrefillReply {
    #[doc = "Displayed attempt identity."]
    pub id: ::std::string::String,
    pub kv_transfer_params: KvTransferParams,
}
#[doc = "Body of an answer other than 2xx."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct RefusalBody {
    #[doc = "`no` if the attempt provably did not run, `unknown` otherwise."]
    pub ran: RefusalBodyRan,
    #[doc = "Stable word for the reason."]
    pub reason: ::std::string::String,
}
#[doc = "`no` if the attempt provably did not run, `unknown` otherwise."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum RefusalBodyRan {
    #[serde(rename = "no")]
    No,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for RefusalBodyRan {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::No => f.write_str("no"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for RefusalBodyRan {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "no" => Ok(Self::No),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RefusalBodyRan {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RefusalBodyRan {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
