//! Applies the requests of nodes: joining, renewing leases and reservations, ending a session.

use crate::members::Delivery;
use crate::CoordinationState;
use lynxtally::Instant;
use lynxtally_messages::{
    AppliedDocument, Document, Lease, LeaseUpdate, NodeRequest, NodeResponse, Rejection, Reservation,
};

/// The part of a response that is about the route document. Both fields are `None` if the node does not read route
/// documents, if no document is in force, or if the node has already applied the one in force.
#[derive(Default)]
struct DocumentUpdate {
    document: Option<Document>,
    unreadable_reason: Option<String>,
}

impl CoordinationState {
    /// Applies a node's request. A duplicate of the node's last request gets the same response and changes nothing.
    pub(crate) fn apply_node_request(&mut self, now: Instant, request: &NodeRequest) -> NodeResponse {
        if request.incarnation == 0 {
            return self.join(now, request);
        }
        match self.members.receive(now, request) {
            Delivery::Duplicate(response) => response,
            Delivery::Rejected(rejection) => NodeResponse::Rejected(rejection),
            Delivery::New { replaced } => {
                if let Some(former) = replaced {
                    self.fence(former);
                }
                let response = NodeResponse::Accepted(self.apply_new_request(now, request));
                self.members.record_response(request, response.clone());
                response
            }
        }
    }

    fn join(&mut self, now: Instant, request: &NodeRequest) -> NodeResponse {
        match self.members.join(now, self.applied_index, request) {
            Some(incarnation) => NodeResponse::Accepted(LeaseUpdate {
                incarnation,
                sequence: request.sequence,
                leases: Vec::new(),
                reservations: Vec::new(),
                document: None,
                unreadable_reason: None,
            }),
            None => NodeResponse::Rejected(Rejection::TooManyJoining),
        }
    }

    /// Fences a process whose name a newer process has taken. It is granted nothing more, but what it holds stays
    /// outstanding, because it may still be running.
    fn fence(&mut self, incarnation: u64) {
        self.budgets.values_mut().for_each(|budget| budget.fence(incarnation));
        self.wallets.values_mut().for_each(|wallet| wallet.fence(incarnation));
    }

    fn apply_new_request(&mut self, now: Instant, request: &NodeRequest) -> LeaseUpdate {
        let mut leases = Vec::new();
        let mut reservations = Vec::new();
        if request.ends_session {
            self.end_session(request);
        } else {
            leases = self.renew_leases(now, request);
            reservations = self.renew_reservations(now, request);
        }
        let DocumentUpdate { document, unreadable_reason } = self.document_update(request);
        LeaseUpdate {
            incarnation: request.incarnation,
            sequence: request.sequence,
            leases,
            reservations,
            document,
            unreadable_reason,
        }
    }

    /// Frees the units of a process that has reported that nothing it started still runs.
    fn end_session(&mut self, request: &NodeRequest) {
        for (name, wallet) in &mut self.wallets {
            let report = request.wallets.iter().find(|report| report.wallet == *name);
            wallet.release(request.incarnation, report);
        }
        for budget in self.budgets.values_mut() {
            budget.release(request.incarnation);
        }
        self.members.remove(request.incarnation);
    }

    fn renew_leases(&mut self, now: Instant, request: &NodeRequest) -> Vec<Lease> {
        let mut leases = Vec::new();
        for report in &request.budgets {
            if let Some(budget) = self.budgets.get_mut(&report.budget) {
                leases.push(budget.renew(now, self.applied_index, request.incarnation, report));
            }
        }
        leases
    }

    fn renew_reservations(&mut self, now: Instant, request: &NodeRequest) -> Vec<Reservation> {
        let mut reservations = Vec::new();
        for report in &request.wallets {
            if let Some(wallet) = self.wallets.get_mut(&report.wallet) {
                reservations.push(wallet.renew(now, self.applied_index, request.incarnation, report));
            }
        }
        reservations
    }

    /// The route document if the reader has yet to apply it, or the reason why the reader can't be given it.
    fn document_update(&self, request: &NodeRequest) -> DocumentUpdate {
        let (Some(applied), Some(index)) = (&request.applied_document, self.schemas.document_index()) else {
            return DocumentUpdate::default();
        };
        match self.schemas.document_for(&request.schema_versions) {
            Some(document) if is_applied(&document, applied) => DocumentUpdate::default(),
            Some(document) => DocumentUpdate { document: Some(document), unreadable_reason: None },
            None => {
                let versions: Vec<String> = request.schema_versions.iter().map(u32::to_string).collect();
                let reason = format!("document {index} can't be had in the versions {}", versions.join(", "));
                DocumentUpdate { document: None, unreadable_reason: Some(reason) }
            }
        }
    }
}

fn is_applied(document: &Document, applied: &AppliedDocument) -> bool {
    document.index == applied.index && document.version == applied.version
}
