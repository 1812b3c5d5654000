//! The mesh between controllers: CBOR over HTTP. One that can't be reached is no error.

use crate::controller::Inner;
use jasperhill_http::{Method, Request, Response};
use jasperhill_wire::{
    Micros,
    mesh::{MeshAnswer, MeshRequest, decode, encode},
};
use std::{net::SocketAddr, rc::Rc};

impl Inner {
    pub async fn ask(&self, to: SocketAddr, ask: MeshRequest, limit: Micros) -> Option<MeshAnswer> {
        let body = encode(ask).ok()?;
        let request = Request::new(Method::Post, "/mesh", body);
        let answer = self.call(to, request, limit).await.ok()?;
        if answer.status != 200 {
            return None;
        }
        decode(&answer.body)
            .inspect_err(|error| tracing::warn!(%error, "a mesh answer that is not understood"))
            .ok()
    }

    pub async fn serve_mesh(self: Rc<Self>, request: Request) -> Response {
        if request.method != Method::Post || request.path() != "/mesh" {
            return Response::new(404, Vec::new());
        }
        let answer = match decode::<MeshRequest>(&request.body) {
            Ok(MeshRequest::Admit(job)) => self.admit(*job).await,
            Ok(MeshRequest::Counts(id)) => self.counts(&id),
            Err(error) => {
                tracing::warn!(%error, "a mesh message that is not understood");
                return Response::new(400, Vec::new());
            }
        };
        let mut response = Response::new(200, encode(answer).unwrap_or_default());
        response.cbor = true;
        response
    }
}
