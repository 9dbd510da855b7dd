//! Runs a settings script within resource limits and collects its record function calls.

use crate::reader::{Problem, Problems, RecordCall};
use crate::records;
use crate::site::Site;
use serde_json::Value as Json;
use starlark::codemap::FileSpanRef;
use starlark::collections::SmallMap;
use starlark::environment::{FrozenModule, Globals, GlobalsBuilder, LibraryExtension, Module};
use starlark::eval::{BeforeStmtFunc, BeforeStmtFuncDyn, Evaluator, FileLoader};
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::{none::NoneType, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Component, Path, PathBuf};

/// Limit on the function calls and loop iterations of a script, which take a second or two. A typical script needs
/// hundreds; one that declares 150,000 tenants and 4,500 path groups in loops needs 155,000.
const MAX_TICKS: u64 = 400_000;
const MAX_HEAP_BYTES: usize = 64 << 20;
/// Limit on the size of one file. A literal list of 150,000 tenants is 2.6 MB, and 4,500 path groups are 0.9 MB.
const MAX_FILE_BYTES: u64 = 8 << 20;
/// Limit on the files that a script loads, directly or through other files.
const MAX_LOADED_FILES: usize = 32;
/// Limit on the calls of record functions; path groups are the most numerous.
const MAX_RECORDS: usize = 16_384;

/// Resource limits of one run of a script.
#[derive(Clone, Copy)]
struct Bounds {
    ticks: u64,
    heap_bytes: usize,
    file_bytes: u64,
    records: usize,
}

const SETTINGS_BOUNDS: Bounds = Bounds {
    ticks: MAX_TICKS,
    heap_bytes: MAX_HEAP_BYTES,
    file_bytes: MAX_FILE_BYTES,
    records: MAX_RECORDS,
};
/// A configuration is compiled by one process only, so it may use more resources. Each service and route may need a
/// call of its own. Tenants can be declared in bulk, but the limit leaves room for as many individual `tenant(...)`
/// calls.
const CONFIGURATION_BOUNDS: Bounds = Bounds {
    ticks: 2_000_000,
    heap_bytes: 256 << 20,
    file_bytes: 8 << 20,
    records: 200_000,
};

/// Values passed to the script from outside, by name; the script reads them with `given(name, otherwise)`.
pub type Given = BTreeMap<String, String>;

/// The state of one run: the calls collected so far, and the run's inputs.
struct RunState {
    calls: Vec<RecordCall>,
    given: Given,
    max_calls: usize,
}

thread_local! {
    /// The state of the run on this thread. It is a thread local because passing it through the evaluator would require
    /// `unsafe` code.
    static RUN: RefCell<Option<RunState>> = const { RefCell::new(None) };
}

fn with_run<T>(action: impl FnOnce(&mut RunState) -> anyhow::Result<T>) -> anyhow::Result<T> {
    RUN.with_borrow_mut(|run| match run {
        Some(run) => action(run),
        None => Err(anyhow::anyhow!("function called while no script runs")),
    })
}

/// Adds a call of the record function `kind` to the current run.
fn add_call<'v>(
    kind: &'static str,
    fields: SmallMap<String, Value<'v>>,
    eval: &Evaluator<'v, '_, '_>,
) -> anyhow::Result<NoneType> {
    let location = eval.call_stack_top_location();
    let (file, line) = location.map_or((String::new(), 0), |span| {
        (
            span.filename().to_string(),
            span.resolve_span().begin.line + 1,
        )
    });
    let to_json = |(name, value): (String, Value<'v>)| {
        let json = value.to_json_value();
        (
            name,
            json.unwrap_or_else(|_| Json::from(format!("<{}>", value.get_type()))),
        )
    };
    let fields = fields.into_iter().map(to_json).collect();
    with_run(|run| {
        anyhow::ensure!(
            run.calls.len() < run.max_calls,
            "{kind}(...) is record {}; expected at most {} records in a script; \
             give several paths to one record (paths = [...]) where its rules are the same",
            run.calls.len() + 1,
            run.max_calls,
        );
        run.calls.push(RecordCall {
            kind,
            file,
            line,
            fields,
        });
        Ok(NoneType)
    })
}

macro_rules! record_functions {
    ($module:ident: $($name:ident),*) => {
        #[starlark_module]
        fn $module(builder: &mut GlobalsBuilder) {
            $(fn $name<'v>(
                #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
                eval: &mut Evaluator<'v, '_, '_>,
            ) -> anyhow::Result<NoneType> {
                add_call(stringify!($name), fields, eval)
            })*
        }
    };
}

record_functions!(
    settings_functions: sidecar, path_group, headers, limits, pods, exposure, votes, nodes, desk, trace, fellowship,
    takeover, configuration
);
record_functions!(configuration_functions: service, route, tenant, tenants);

#[starlark_module]
fn input_functions(builder: &mut GlobalsBuilder) {
    /// Returns the value passed from outside under this name, or the second argument if there is none.
    fn given(
        #[starlark(require = pos)] name: &str,
        #[starlark(require = pos)] otherwise: &str,
    ) -> anyhow::Result<String> {
        with_run(|run| {
            Ok(run
                .given
                .get(name)
                .cloned()
                .unwrap_or_else(|| otherwise.to_string()))
        })
    }
}

/// Loads files from the folder of the script, each once.
struct FolderLoader<'a> {
    folder: PathBuf,
    globals: &'a Globals,
    bounds: Bounds,
    loaded: RefCell<BTreeMap<String, FrozenModule>>,
    /// Files that are being loaded, each by the one before it.
    loading: RefCell<Vec<String>>,
}

impl FileLoader for FolderLoader<'_> {
    fn load(&self, path: &str) -> starlark::Result<FrozenModule> {
        let reject = |reason: String| {
            Err(starlark::Error::new_other(anyhow::anyhow!(
                "load of {path:?}: {reason}"
            )))
        };
        if let Some(module) = self.loaded.borrow().get(path) {
            return Ok(module.clone());
        }
        let is_below_folder = Path::new(path)
            .components()
            .all(|component| matches!(component, Component::Normal(_)));
        if !is_below_folder {
            return reject(
                "expected a path within the script's folder, without .. and without a leading /"
                    .to_string(),
            );
        }
        if self.loading.borrow().iter().any(|name| name == path) {
            return reject("the file loads itself, directly or through other files".to_string());
        }
        if self.loading.borrow().len() + self.loaded.borrow().len() >= MAX_LOADED_FILES {
            return reject(format!(
                "too many files; expected at most {MAX_LOADED_FILES}"
            ));
        }
        let file = self.folder.join(path);
        let text = match read(&file, self.bounds.file_bytes) {
            Ok(text) => text,
            Err(error) => return reject(error.to_string()),
        };
        self.loading.borrow_mut().push(path.to_string());
        let module = run(&file.display().to_string(), text, self.globals, self);
        self.loading.borrow_mut().pop();
        let module = module?;
        self.loaded
            .borrow_mut()
            .insert(path.to_string(), module.clone());
        Ok(module)
    }
}

/// Checks the heap size before each statement. The evaluator itself checks it only once in a thousand steps; by then, a
/// string that doubles in each step would have exhausted the memory.
struct HeapLimit {
    heap_bytes: usize,
}

impl<'e> BeforeStmtFuncDyn<'e> for HeapLimit {
    fn call<'v>(
        &mut self,
        _location: FileSpanRef,
        _continued: bool,
        eval: &mut Evaluator<'v, '_, 'e>,
    ) -> starlark::Result<()> {
        match eval.heap().allocated_bytes() {
            bytes if bytes <= self.heap_bytes => Ok(()),
            bytes => {
                let max = self.heap_bytes;
                Err(starlark::Error::new_other(anyhow::anyhow!(
                    "{bytes} bytes of values; expected at most {max}"
                )))
            }
        }
    }
}

/// Why a file of a script cannot be read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("cannot be read ({0})")]
    Io(#[from] io::Error),
    #[error("{found} bytes; expected at most {max}")]
    TooLong { found: u64, max: u64 },
}

fn read(file: &Path, max: u64) -> Result<String, ReadError> {
    let found = std::fs::metadata(file)?.len();
    if found > max {
        return Err(ReadError::TooLong { found, max });
    }
    Ok(std::fs::read_to_string(file)?)
}

fn run(
    name: &str,
    text: String,
    globals: &Globals,
    loader: &FolderLoader,
) -> starlark::Result<FrozenModule> {
    let dialect = Dialect {
        enable_top_level_stmt: true,
        enable_f_strings: true,
        ..Dialect::Standard
    };
    let ast = AstModule::parse(name, text, &dialect)?;
    Module::with_temp_heap(|module| {
        {
            let mut eval = Evaluator::new(&module);
            let Bounds {
                ticks, heap_bytes, ..
            } = loader.bounds;
            let limited = eval
                .set_max_tick_count(ticks)
                .and_then(|()| eval.set_max_heap_size(heap_bytes));
            limited
                .and_then(|()| eval.set_max_callstack_size(64))
                .map_err(starlark::Error::new_other)?;
            eval.set_loader(loader);
            eval.before_stmt_for_dap(BeforeStmtFunc::from_dyn(Box::new(HeapLimit { heap_bytes })));
            eval.eval_module(ast, globals)?;
        }
        module
            .freeze()
            .map_err(|e| starlark::Error::new_other(anyhow::anyhow!("{e:?}")))
    })
}

/// Runs the settings script in `file` and checks the settings that it declares.
///
/// # Errors
/// Returns all mistakes, ordered by line. If the script does not run to its end (a syntax error, an undefined name, a
/// step or memory limit exceeded), returns that single mistake with its location.
pub fn load(file: &Path, given: &Given) -> Result<Site, Problems> {
    let globals = globals().with(settings_functions).build();
    let calls = collect(file, given, &globals, SETTINGS_BOUNDS)?;
    let mut problems = Vec::new();
    let site = records::read_site(&file.display().to_string(), &calls, &mut problems);
    problems.sort_by_key(|problem| problem.line);
    if !problems.is_empty() {
        return Err(Problems(problems));
    }
    Ok(site)
}

/// Runs the script of a configuration that changes while sidecars run and returns the calls of its record
/// functions: `service`, `route`, `tenant`, `tenants`. The record functions of a settings script are also defined, so
/// that the caller can reject such calls with their location.
///
/// # Errors
/// Returns the mistake at which the script stopped, if it does not run to its end.
pub fn run_configuration_script(file: &Path, given: &Given) -> Result<Vec<RecordCall>, Problems> {
    let globals = globals()
        .with(settings_functions)
        .with(configuration_functions)
        .build();
    collect(file, given, &globals, CONFIGURATION_BOUNDS)
}

fn globals() -> GlobalsBuilder {
    GlobalsBuilder::extended_by(&[LibraryExtension::Print, LibraryExtension::StructType])
        .with(input_functions)
}

/// Runs a script and returns the calls of its record functions, in order.
fn collect(
    file: &Path,
    given: &Given,
    globals: &Globals,
    bounds: Bounds,
) -> Result<Vec<RecordCall>, Problems> {
    let path = file.display().to_string();
    let text = read(file, bounds.file_bytes)
        .map_err(|error| script_problem(&path, 0, error.to_string(), "a readable file"))?;
    let loader = FolderLoader {
        folder: file.parent().unwrap_or(Path::new("")).to_path_buf(),
        globals,
        bounds,
        loaded: RefCell::default(),
        loading: RefCell::default(),
    };
    RUN.set(Some(RunState {
        calls: Vec::new(),
        given: given.clone(),
        max_calls: bounds.records,
    }));
    // The interpreter panics on a value that exceeds its internal size limits.
    let result = catch_unwind(AssertUnwindSafe(|| run(&path, text, globals, &loader)));
    let calls = RUN.take().map_or_else(Vec::new, |run| run.calls);
    match result {
        Ok(Ok(_)) => Ok(calls),
        Ok(Err(error)) => Err(failed_run(&path, &error)),
        Err(_) => {
            let found = "a value too large for the interpreter".to_string();
            Err(script_problem(&path, 0, found, RUNNING_SCRIPT))
        }
    }
}

const RUNNING_SCRIPT: &str = "a script that runs to its end";

/// Returns the problem of a script that did not run to its end, with the file and line where it stopped.
fn failed_run(file: &str, error: &starlark::Error) -> Problems {
    let span = error.span();
    let file = span.map_or(file, |span| span.filename());
    let line = span.map_or(0, |span| span.resolve_span().begin.line + 1);
    let found = error.without_diagnostic().to_string();
    script_problem(file, line, found, RUNNING_SCRIPT)
}

fn script_problem(file: &str, line: usize, found: String, expected: &str) -> Problems {
    Problems(vec![Problem {
        file: file.to_string(),
        line,
        field: "script".to_string(),
        found,
        expected: expected.to_string(),
    }])
}
