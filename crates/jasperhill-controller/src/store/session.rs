//! The controller's session: a lease of the state service that its roles are tied to.

use crate::{
    shared::{Shared, observation_of, to_duration},
    stall_detector,
};
use jasperhill_membership::{
    authority::{self, Session},
    reachability::LinkId,
};
use jasperhill_wire::Micros;
use std::rc::Rc;
use tokio::time::sleep;

/// The pauses between tries to begin a session.
const BEGIN_PAUSE: Micros = Micros::from_millis(200);
const BEGIN_PAUSE_MAX: Micros = Micros::from_millis(800);

impl Shared {
    /// Begins and renews the session.
    pub async fn session_loop(self: Rc<Self>) {
        let mut again = BEGIN_PAUSE;
        loop {
            let session = self.state.borrow().authority.session();
            let pause = match session {
                Session::None => {
                    if self.begin_session().await {
                        again = BEGIN_PAUSE;
                        Micros::ZERO
                    } else {
                        let pause = again;
                        again = again.scale(2.0).min(BEGIN_PAUSE_MAX);
                        pause
                    }
                }
                Session::Held { lease, .. } => self.renew_session(lease).await,
            };
            sleep(to_duration(pause)).await;
        }
    }

    async fn renew_session(&self, lease: u64) -> Micros {
        let sent = self.now();
        {
            // Guards against a session that is kept alive by renewals whose answers get lost, while
            // nobody acts on its roles: others are answered, so it had better end. The watch
            // notices when the link is back.
            let state = self.state.borrow();
            if state.isolation.isolated && !state.authority.holds(sent) {
                return Micros::from_millis(250);
            }
        }
        let answer = self.lease_renew(lease).await;
        let ttl = self.state.borrow().authority.ttl();
        let heard = match answer {
            Some(_) => stall_detector::Input::Answered,
            None => stall_detector::Input::Unanswered { sent },
        };
        self.state.borrow_mut().stalls.apply(heard, self.now());
        self.observe_link(LinkId::Store, observation_of(answer.is_some()));
        match answer {
            Some(true) => {
                self.state
                    .borrow_mut()
                    .authority
                    .apply(authority::Input::Renewed { lease, sent });
                ttl.scale(0.15).min(Micros::from_secs(2))
            }
            Some(false) => {
                let mut state = self.state.borrow_mut();
                state.authority.apply(authority::Input::Lost { lease });
                self.drop_ownership(&mut state, "session ended");
                Micros::ZERO
            }
            None => Micros::from_millis(250),
        }
    }
}
