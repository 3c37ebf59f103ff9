//! Commands over a node's operators' interface.

use std::collections::BTreeMap;
use std::path::Path;

use beamwall_config::{Change, Edit, KeyDigest, TreePath};
use serde_json::Value;

use crate::arguments::{Arguments, Command, ExplainOptions, TreeCommand};
use crate::client::NodeClient;
use crate::directory;
use crate::error::CommandError;

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|cause| CommandError::File(path.display().to_string(), cause))
}

fn client(arguments: &Arguments) -> Result<NodeClient, CommandError> {
    let missing =
        |option: &str| CommandError::Usage(format!("option --{option} is required for this command"));
    let node = arguments.node.ok_or_else(|| missing("node"))?;
    let file = arguments.key_file.as_ref().ok_or_else(|| missing("key-file"))?;
    Ok(NodeClient::new(node, read_file(file)?.trim()))
}

fn print(value: &Value) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

fn parse_path(text: &str) -> Result<TreePath, CommandError> {
    text.parse().map_err(|error: beamwall_config::path::PathError| CommandError::Usage(error.to_string()))
}

/// Runs a command; the lab's commands are run elsewhere.
pub async fn run(arguments: &Arguments, command: &Command) -> Result<(), CommandError> {
    match command {
        Command::Tree(options) => match &options.command {
            Some(command) => run_tree(&client(arguments)?, command).await,
            None => Err(CommandError::Usage("a tree command is required".to_owned())),
        },
        Command::Validate(options) => {
            let documents = directory::read_valid(&options.directory)?;
            println!("{}: valid, {} nodes", options.directory.display(), documents.len());
            Ok(())
        }
        Command::Explain(options) => explain(&client(arguments)?, options).await,
        Command::Status(_) => {
            print(&client(arguments)?.get("/v1/admin/status").await?);
            Ok(())
        }
        Command::Drain(_) => {
            print(&client(arguments)?.post_empty("/v1/admin/drain").await?);
            Ok(())
        }
        Command::KeyDigest(options) => {
            let digest = KeyDigest::of(read_file(&options.file)?.trim());
            println!("{digest}");
            Ok(())
        }
        Command::Lab(_) | Command::Why(_) => Ok(()),
    }
}

async fn run_tree(client: &NodeClient, command: &TreeCommand) -> Result<(), CommandError> {
    match command {
        TreeCommand::Get(options) => {
            let answer = client.tree(options.path.as_deref().unwrap_or("/")).await?;
            println!("# revision {}", answer.revision);
            for (path, text) in answer.documents {
                println!("# {path}\n{}", text.trim_end());
            }
            Ok(())
        }
        TreeCommand::Put(options) => {
            let change = Change { path: parse_path(&options.path)?, text: Some(read_file(&options.file)?) };
            commit(client, options.base, vec![change]).await
        }
        TreeCommand::Delete(options) => {
            let path = options
                .path
                .as_deref()
                .ok_or_else(|| CommandError::Usage("a path is required".to_owned()))?;
            commit(client, options.base, vec![Change { path: parse_path(path)?, text: None }]).await
        }
        TreeCommand::Apply(options) => {
            let documents = directory::read_valid(&options.directory)?;
            let revision = apply(client, &documents).await?;
            println!("revision {revision}");
            Ok(())
        }
        TreeCommand::Diff(options) => {
            let documents = directory::read(&options.directory)?;
            let current = client.tree("/").await?;
            for change in changes(&documents, &current.documents)? {
                print_change(&change, current.documents.get(change.path.as_str()));
            }
            Ok(())
        }
        TreeCommand::History(_) => {
            print(&client.get("/v1/admin/history").await?);
            Ok(())
        }
    }
}

async fn commit(client: &NodeClient, base: Option<u64>, changes: Vec<Change>) -> Result<(), CommandError> {
    let base_revision = match base {
        Some(base) => base,
        None => client.tree("/").await?.revision,
    };
    let revision = client.edit(&Edit { base_revision, changes }).await?;
    println!("revision {revision}");
    Ok(())
}

/// Makes the tree equal to `documents`; returns the revision in force afterwards.
pub async fn apply(client: &NodeClient, documents: &BTreeMap<TreePath, String>) -> Result<u64, CommandError> {
    let current = client.tree("/").await?;
    let changes = changes(documents, &current.documents)?;
    if changes.is_empty() {
        return Ok(current.revision);
    }
    client.edit(&Edit { base_revision: current.revision, changes }).await
}

fn changes(
    wanted: &BTreeMap<TreePath, String>,
    current: &BTreeMap<String, String>,
) -> Result<Vec<Change>, CommandError> {
    let mut changes = Vec::new();
    for path in current.keys() {
        let path = parse_path(path)?;
        if !wanted.contains_key(&path) {
            changes.push(Change { path, text: None });
        }
    }
    for (path, text) in wanted {
        if current.get(path.as_str()) != Some(text) {
            changes.push(Change { path: path.clone(), text: Some(text.clone()) });
        }
    }
    Ok(changes)
}

fn print_change(change: &Change, current: Option<&String>) {
    println!("# {}", change.path);
    for line in current.map_or("", String::as_str).lines() {
        println!("- {line}");
    }
    for line in change.text.as_deref().unwrap_or("").lines() {
        println!("+ {line}");
    }
}

async fn explain(client: &NodeClient, options: &ExplainOptions) -> Result<(), CommandError> {
    let path = match (&options.setting, &options.route) {
        (Some(path), None) => {
            let only = options.only.as_ref().map_or(String::new(), |key| format!("&key={key}"));
            format!("/v1/admin/explain/setting?path={path}{only}")
        }
        (None, Some(service)) => {
            let session = options.session.as_ref().map_or(String::new(), |key| format!("&session={key}"));
            let tokens = options.prompt_tokens;
            format!("/v1/admin/explain/route?service={service}&prompt-tokens={tokens}{session}")
        }
        _ => return Err(CommandError::Usage("give either --setting or --route".to_owned())),
    };
    print(&client.get(&path).await?);
    Ok(())
}
