//! Tests of the lookup of routes and workspace keys.

use skylarkgw::decision::route_table::RouteTable;

use crate::samples::{declaration, only_workspace, route};

#[test]
fn longest_matching_path_prefix_of_the_host_is_chosen() {
    let mut declaration = declaration(&["sage"]);
    declaration.routes.push(route("deep", "a.example", "/chat/deep/"));
    declaration.routes.push(route("other", "b.example", "/chat/deep/er/"));
    let table = RouteTable::new(&declaration);
    let name =
        |host: &str, path: &str| table.find_route(host, path).map(|route| route.name.to_string());
    assert_eq!(name("a.example", "/chat/x").as_deref(), Some("chat"));
    assert_eq!(name("A.Example:80", "/chat/deep/er/x").as_deref(), Some("deep"));
    assert_eq!(name("a.example", "/chat"), None);
    assert_eq!(name("c.example", "/chat/x"), None);
}

#[test]
fn key_finds_its_workspace_until_it_is_withdrawn() {
    let mut declaration = declaration(&["sage"]);
    let table = RouteTable::new(&declaration);
    assert_eq!(&*table.find_workspace("key-1").expect("a workspace").name, "shop");
    only_workspace(&mut declaration).keys.clear();
    let table = RouteTable::new(&declaration);
    assert!(table.find_workspace("key-1").is_none());
}
