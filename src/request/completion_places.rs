use {
    super::{Completion, Held, Parts, Pools, Shared, acquire},
    crate::{
        board::Role,
        decide::{count_tokens, minute_of_day, prefixes, routes},
        key::AttemptId,
        port::{Clock, Denial, GrantAsk},
    },
    std::{pin::pin, time::Duration},
};

/// Places that one attempt may ask for: its own decode and prefill, and a borrowed decode.
const PLACES: u16 = 3;

/// Wait for a place in the rule's own pools before the lender is asked as well.
const BORROW_WAIT: Duration = Duration::from_millis(100);

/// Priority of borrowed places: the lender's own requests go first.
const BORROWED_PRIORITY: u8 = u8::MAX;

/// Places of one completion: in the pools of its rule and in borrowed ones.
#[derive(Debug)]
pub struct CompletionPlaces<'a, P> {
    shared: &'a Shared<P>,
    ask: &'a Completion,
    own: Pools<'a>,
    borrowed: Option<Pools<'a>>,
}

/// What one attempt wants a place for.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// Number of the attempt, from 0.
    pub attempt: u16,
    /// Prompt text, with what was relayed before.
    pub prompt: &'a str,
    /// Greatest number of tokens still to generate.
    pub tokens: u32,
    /// Endpoints to avoid.
    pub avoid: &'a [String],
}

impl<'a, P> CompletionPlaces<'a, P>
where
    P: Parts,
{
    /// Finds the pools of `ask`; `None` if its rule routes to a plain service.
    pub fn new(shared: &'a Shared<P>, ask: &'a Completion) -> Option<Self> {
        let rule = &ask.call.rule;
        let mut routes = routes(rule, minute_of_day(shared.unix_ms()));
        let own = Pools::new(routes.next()?, rule.priority)?;
        let borrowed = routes.next();
        let borrowed = borrowed.and_then(|route| Pools::new(route, BORROWED_PRIORITY));
        Some(Self {
            shared,
            ask,
            own,
            borrowed,
        })
    }

    /// Waits for a decode place, after a while at the lender of the rule's pools as well.
    pub async fn decode(&self, want: &Want<'_>) -> Result<(Held<P>, Pools<'a>), Denial> {
        let number = want.attempt * PLACES;
        let mut own = pin!(self.place(self.own, Role::Decode, number, want));
        let Some(pools) = self.borrowed else {
            return Ok((own.await?, self.own));
        };
        let borrowed = async {
            self.shared.parts().clock().sleep(BORROW_WAIT).await;
            self.place(pools, Role::Decode, number + 2, want).await
        };
        tokio::select! {
            held = &mut own => return Ok((held?, self.own)),
            held = borrowed => if let Ok(held) = held {
                return Ok((held, pools));
            },
        }
        Ok((own.await?, self.own))
    }

    /// Waits for a prefill place in `pools`.
    pub async fn prefill(&self, pools: Pools<'a>, want: &Want<'_>) -> Result<Held<P>, Denial> {
        self.place(pools, Role::Prefill, want.attempt * PLACES + 1, want)
            .await
    }

    async fn place(
        &self,
        pools: Pools<'a>,
        role: Role,
        number: u16,
        want: &Want<'_>,
    ) -> Result<Held<P>, Denial> {
        let ask = self.grant_ask(pools, role, number, want);
        acquire(self.shared, &ask, self.ask.call.deadline).await
    }

    fn grant_ask(&self, pools: Pools<'a>, role: Role, number: u16, want: &Want<'_>) -> GrantAsk {
        let call = &self.ask.call;
        let pool = pools.name(role);
        let prompt_tokens = count_tokens(want.prompt);
        // A prefill endpoint holds the prompt only.
        let output_tokens = if role == Role::Prefill {
            0
        } else {
            want.tokens
        };
        let waited = self.shared.now() - call.arrived;
        GrantAsk {
            attempt: AttemptId {
                request: call.id,
                number,
            },
            role,
            pool: pool.to_owned(),
            model: call.rule.model.clone(),
            version: call.rule.version.clone(),
            adapter: call.rule.adapter.clone(),
            branch: call.rule.branch.clone(),
            priority: pools.priority,
            pieces: self.pieces(pool, prompt_tokens + output_tokens),
            prompt_tokens,
            output_tokens: want.tokens,
            prefixes: prefixes(want.prompt, &call.rule.model, call.rule.adapter.as_deref()),
            first_token: call.rule.target.first_token.saturating_sub(waited),
            per_token: call.rule.target.per_token,
            remaining: self.shared.left(call.deadline),
            avoid: want.avoid.to_vec(),
            suspect: self.shared.is_suspect(call.print),
        }
    }

    /// Pieces of memory that an attempt of `tokens` may come to hold at an endpoint of `pool`.
    fn pieces(&self, pool: &str, tokens: u32) -> u32 {
        let fleet = self.shared.board().fleet.load();
        let pool = fleet.pools.find(pool).and_then(|key| fleet.pools.get(key));
        let first = pool.and_then(|pool| fleet.endpoints.get(*pool.members.first()?));
        let piece = first.map_or(1, |endpoint| endpoint.piece_tokens.max(1));
        tokens.div_ceil(piece).max(1)
    }
}
