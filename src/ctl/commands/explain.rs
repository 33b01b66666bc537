//! `fescuectl explain`

use crate::ctl::call::Controls;
use crate::ctl::cli::ExplainCommand;
use crate::ctl::fault::CtlError;
use crate::ctl::report::{Report, render, show_time, table};
use crate::ids::{AccountId, EndpointId, RequestId};
use crate::rpc::OperatorApiClient;
use crate::wire::operator::{ExplainReply, ExplainSubject};

pub(super) async fn run(controls: &Controls, command: &ExplainCommand) -> Result<Report, CtlError> {
    let subject = subject_of(command);
    let reply = controls
        .call(async |client, key| client.explain(key, subject.clone()).await)
        .await?;
    Report::success(render_explanation(&reply), &reply)
}

fn subject_of(command: &ExplainCommand) -> ExplainSubject {
    match command {
        ExplainCommand::Request { id } => ExplainSubject::Request {
            request: RequestId::from(id.as_str()),
        },
        ExplainCommand::Endpoint { name } => ExplainSubject::Endpoint {
            endpoint: EndpointId::from(name.as_str()),
        },
        ExplainCommand::Account { name } => ExplainSubject::Account {
            account: AccountId::from(name.as_str()),
        },
    }
}

pub(in crate::ctl) fn render_explanation(reply: &ExplainReply) -> String {
    let mut text = match reply.lines.is_empty() {
        true => "nothing is known of it; decisions are kept for a short time only".to_owned(),
        false => line_table(reply),
    };
    if !reply.unreachable.is_empty() {
        let names: Vec<&str> = reply.unreachable.iter().map(|name| name.as_str()).collect();
        text.push_str(&format!(
            "\nnot asked, since out of reach: {}; what they decided is missing",
            names.join(", ")
        ));
    }
    text
}

fn line_table(reply: &ExplainReply) -> String {
    let mut table = table(["AT", "INSTANCE", "WHAT"]);
    for line in &reply.lines {
        table.add_row([
            show_time(line.at_unix_ms),
            line.instance.to_string(),
            line.text.clone(),
        ]);
    }
    render(&table)
}
