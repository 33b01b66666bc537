//! `fescuectl explain`

use crate::ctl::call::ControlClient;
use crate::ctl::cli::ExplainCommand;
use crate::ctl::fault::CtlError;
use crate::ctl::report::{Report, format_time, render, table};
use crate::ids::{AccountId, EndpointId, RequestId};
use crate::rpc::OperatorApiClient;
use crate::wire::operator::{ExplainReply, ExplainSubject};

pub(super) async fn run(
    control: &ControlClient,
    command: &ExplainCommand,
) -> Result<Report, CtlError> {
    let subject = subject_of(command);
    let reply = control
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
        true => "no decisions found; decisions are only kept for a short time".to_owned(),
        false => line_table(reply),
    };
    if !reply.unreachable.is_empty() {
        let names: Vec<&str> = reply.unreachable.iter().map(|name| name.as_str()).collect();
        text.push_str(&format!(
            "\nunreachable instances: {}; their decisions are missing",
            names.join(", ")
        ));
    }
    text
}

fn line_table(reply: &ExplainReply) -> String {
    let mut table = table(["AT", "INSTANCE", "WHAT"]);
    for line in &reply.lines {
        table.add_row([
            format_time(line.at_unix_ms),
            line.instance.to_string(),
            line.text.clone(),
        ]);
    }
    render(&table)
}
