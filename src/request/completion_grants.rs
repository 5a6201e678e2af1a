use {
    super::{Completion, GrantHold, Parts, Pools, Shared, acquire},
    crate::{
        board::Role,
        decide::{count_tokens, minute_of_day, prefixes, routes},
        key::AttemptId,
        port::{Clock, Denial, GrantRequest},
    },
    std::{pin::pin, time::Duration},
};

/// Grants that one attempt may request: decode and prefill in its own pools, and a borrowed decode.
const ATTEMPT_GRANTS: u16 = 3;

/// Wait for a grant in the rule's own pools before the lender's pools are tried as well.
const BORROW_WAIT: Duration = Duration::from_millis(100);

/// Priority in the lender's pools: the lender's own requests go first.
const BORROWED_PRIORITY: u8 = u8::MAX;

/// Acquires the grants of one completion, in the pools of its rule and in borrowed ones.
#[derive(Debug)]
pub struct CompletionGrants<'a, P> {
    shared: &'a Shared<P>,
    completion: &'a Completion,
    own: Pools<'a>,
    borrowed: Option<Pools<'a>>,
}

/// What one attempt needs a grant for.
#[derive(Clone, Copy, Debug)]
pub struct AttemptNeed<'a> {
    /// Number of the attempt, from 0.
    pub attempt: u16,
    /// Prompt text, followed by the text that was relayed before.
    pub prompt: &'a str,
    /// Maximum number of tokens still to generate.
    pub tokens: u32,
    /// Names of endpoints to avoid.
    pub avoid: &'a [String],
}

impl<'a, P> CompletionGrants<'a, P>
where
    P: Parts,
{
    /// Finds the pools of `completion`; `None` if its rule routes to a plain service.
    pub fn new(shared: &'a Shared<P>, completion: &'a Completion) -> Option<Self> {
        let rule = &completion.call.rule;
        let mut routes = routes(rule, minute_of_day(shared.unix_ms()));
        let own = Pools::new(routes.next()?, rule.priority)?;
        let borrowed = routes.next();
        let borrowed = borrowed.and_then(|route| Pools::new(route, BORROWED_PRIORITY));
        Some(Self {
            shared,
            completion,
            own,
            borrowed,
        })
    }

    /// Acquires a decode grant, after `BORROW_WAIT` from the lender's pools as well.
    ///
    /// Returns the grant with the pools that it belongs to. It fails as `acquire` does in the rule's
    /// own pools; a denial of the lender is ignored.
    pub async fn decode(
        &self,
        need: &AttemptNeed<'_>,
    ) -> Result<(GrantHold<P>, Pools<'a>), Denial> {
        let number = need.attempt * ATTEMPT_GRANTS;
        let mut own = pin!(self.acquire(self.own, Role::Decode, number, need));
        let Some(pools) = self.borrowed else {
            return Ok((own.await?, self.own));
        };
        let borrowed = async {
            self.shared.parts().clock().sleep(BORROW_WAIT).await;
            self.acquire(pools, Role::Decode, number + 2, need).await
        };
        tokio::select! {
            hold = &mut own => return Ok((hold?, self.own)),
            hold = borrowed => if let Ok(hold) = hold {
                return Ok((hold, pools));
            },
        }
        Ok((own.await?, self.own))
    }

    /// Acquires a prefill grant in `pools`; fails as `acquire` does.
    pub async fn prefill(
        &self,
        pools: Pools<'a>,
        need: &AttemptNeed<'_>,
    ) -> Result<GrantHold<P>, Denial> {
        self.acquire(
            pools,
            Role::Prefill,
            need.attempt * ATTEMPT_GRANTS + 1,
            need,
        )
        .await
    }

    async fn acquire(
        &self,
        pools: Pools<'a>,
        role: Role,
        number: u16,
        need: &AttemptNeed<'_>,
    ) -> Result<GrantHold<P>, Denial> {
        let request = self.grant_request(pools, role, number, need);
        acquire(self.shared, &request, self.completion.call.deadline).await
    }

    fn grant_request(
        &self,
        pools: Pools<'a>,
        role: Role,
        number: u16,
        need: &AttemptNeed<'_>,
    ) -> GrantRequest {
        let call = &self.completion.call;
        let pool = pools.name(role);
        let prompt_tokens = count_tokens(need.prompt);
        // A prefill endpoint holds only the prompt.
        let output_tokens = if role == Role::Prefill {
            0
        } else {
            need.tokens
        };
        let waited = self.shared.now() - call.arrived;
        GrantRequest {
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
            output_tokens: need.tokens,
            prefixes: prefixes(need.prompt, &call.rule.model, call.rule.adapter.as_deref()),
            first_token: call.rule.target.first_token.saturating_sub(waited),
            per_token: call.rule.target.per_token,
            remaining: self.shared.left(call.deadline),
            avoid: need.avoid.to_vec(),
            suspect: self.shared.is_suspect(call.fingerprint),
        }
    }

    /// Returns the pieces of memory that `tokens` need at an endpoint of `pool`, at least 1.
    ///
    /// While no endpoint of the pool is known, a piece is taken as 1 token.
    fn pieces(&self, pool: &str, tokens: u32) -> u32 {
        let fleet = self.shared.board().fleet.load();
        let pool = fleet.pools.find(pool).and_then(|key| fleet.pools.get(key));
        let first = pool.and_then(|pool| fleet.endpoints.get(*pool.members.first()?));
        let piece = first.map_or(1, |endpoint| endpoint.piece_tokens.max(1));
        tokens.div_ceil(piece).max(1)
    }
}
