//! Checks that the modules of each package have no cyclic imports: following the imports of a file
//! never leads back to that file.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

/// Path of a module within its crate: `store::session` for `crate::store::session`, empty for the
/// crate root.
type Module = String;

/// Adds the path and text of each module below a folder to `found`, without crate roots, binaries
/// and test modules.
fn collect_modules(folder: &Path, module: &str, found: &mut BTreeMap<Module, String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path: PathBuf = entry.unwrap().path();
        let name = path.file_stem().unwrap().to_str().unwrap().to_owned();
        let module_path = match (module, name.as_str()) {
            ("", name) => name.to_owned(),
            (module, "mod") => module.to_owned(),
            (module, name) => format!("{module}::{name}"),
        };
        if path.is_dir() {
            if name != "bin" {
                collect_modules(&path, &module_path, found);
            }
        } else if !matches!(name.as_str(), "lib" | "main" | "tests") {
            found.insert(module_path, fs::read_to_string(&path).unwrap());
        }
    }
}

/// Returns the paths that a `use` tree imports, with nested braces expanded.
fn expand_use_tree(tree: &str) -> Vec<String> {
    let tree = tree.trim();
    let Some(open) = tree.find('{') else {
        return vec![tree.to_owned()];
    };
    let (prefix, rest) = (&tree[..open], &tree[open + 1..tree.rfind('}').unwrap()]);
    let (mut parts, mut depth, mut from) = (Vec::new(), 0, 0);
    for (at, c) in rest.char_indices() {
        match c {
            '{' => depth += 1,
            '}' => depth -= 1,
            ',' if depth == 0 => {
                parts.push(&rest[from..at]);
                from = at + 1;
            }
            _ => {}
        }
    }
    parts.push(&rest[from..]);
    let non_empty_parts = parts.into_iter().filter(|p| !p.trim().is_empty());
    let inner = non_empty_parts.flat_map(expand_use_tree);
    inner.map(|p| format!("{prefix}{p}")).collect()
}

/// Returns the modules that a file imports from. Items of submodules in the same file are not
/// counted.
fn imports(module: &str, text: &str, all: &BTreeMap<Module, String>) -> BTreeSet<Module> {
    let code: String = text
        .lines()
        .filter(|line| !line.trim_start().starts_with("//"))
        .collect::<Vec<_>>()
        .join("\n");
    let mut import_paths = Vec::new();
    for statement in code.split(';') {
        let is_use_line = |line: &&str| {
            line.trim_start()
                .trim_start_matches("pub ")
                .starts_with("use ")
        };
        let lines: Vec<&str> = statement.lines().collect();
        if let Some(first) = lines.iter().position(is_use_line) {
            let tree: String = lines[first..].concat();
            let tree = tree.split_once("use ").map_or("", |(_, tree)| tree);
            import_paths.extend(expand_use_tree(&tree.replace(' ', "")));
        }
    }
    // Qualified paths outside `use` statements.
    for (at, _) in code.match_indices("crate::") {
        let path: String = code[at..]
            .chars()
            .take_while(|c| c.is_alphanumeric() || matches!(c, '_' | ':'))
            .collect();
        import_paths.push(path);
    }
    let parent = module.rsplit_once("::").map_or("", |(parent, _)| parent);
    let absolute = |path: String| match path.split_once("::") {
        Some(("crate", rest)) => Some(rest.to_owned()),
        Some(("super", rest)) if parent.is_empty() => Some(rest.to_owned()),
        Some(("super", rest)) => Some(format!("{parent}::{rest}")),
        Some(("self", rest)) => Some(format!("{module}::{rest}")),
        _ => None,
    };
    let file_of = |path: String| {
        let mut path = path.as_str();
        loop {
            if all.contains_key(path) {
                return Some(path.to_owned());
            }
            path = path.rsplit_once("::")?.0;
        }
    };
    let found = import_paths
        .into_iter()
        .filter_map(absolute)
        .filter_map(file_of);
    found.filter(|m| m != module).collect()
}

/// Returns the modules of a package that lie on an import cycle.
fn modules_on_cycles(package: &str) -> Vec<Module> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("..")
        .join(package);
    let mut all = BTreeMap::new();
    collect_modules(&root.join("src"), "", &mut all);
    assert!(all.len() > 2, "{package} has hardly any sources");
    let edges: BTreeMap<&Module, BTreeSet<Module>> = all
        .iter()
        .map(|(module, text)| (module, imports(module, text, &all)))
        .collect();
    let reaches_itself = |start: &&Module| {
        let mut next: Vec<&Module> = edges[*start].iter().collect();
        let mut seen = BTreeSet::new();
        while let Some(module) = next.pop() {
            if module == *start {
                return true;
            }
            if seen.insert(module) {
                next.extend(&edges[module]);
            }
        }
        false
    };
    all.keys().filter(reaches_itself).cloned().collect()
}

/// Packages without import cycles. docs/ROADMAP.md lists the packages that still have some.
const ACYCLIC_PACKAGES: [&str; 7] = [
    "jasperhill-wire",
    "jasperhill-http",
    "jasperhill-connections",
    "jasperhill-membership",
    "jasperhill-scheduler",
    "jasperhill-testkit",
    "jasperhill-controller",
];

#[test]
fn packages_have_no_import_cycles() {
    for package in ACYCLIC_PACKAGES {
        assert_eq!(
            modules_on_cycles(package),
            Vec::<Module>::new(),
            "{package}"
        );
    }
}

/// Guards against a parser that misses imports, with which no cycle would ever be found.
#[test]
fn finds_absolute_relative_and_nested_imports() {
    let all = ["a", "a::b", "c", "c::d", "e"].map(|m| (m.to_owned(), String::new()));
    let text = "use super::e;\nuse crate::{\n    a::{self, b::X},\n    c::{d, Y},\n};\nfn f() {}";
    let found = imports("c::d", text, &all.into());
    assert_eq!(found, ["a", "a::b", "c"].map(str::to_owned).into());
}
